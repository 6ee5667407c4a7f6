#pragma once

namespace lycheeseam {

/// A route's priority in its pool's queue, from highest to lowest. Requests of
/// a lower priority wait for those of a higher one.
enum class priority_class
{
  Interactive,
  Normal,
  Batch,
};

}

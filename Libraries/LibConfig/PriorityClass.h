#pragma once

namespace lycheeseam {

/// A route's priority in its pool's queue; lower ones wait for higher ones.
enum class priority_class
{
  Interactive,
  Normal,
  Batch,
};

}

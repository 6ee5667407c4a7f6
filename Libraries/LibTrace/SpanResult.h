#pragma once

namespace lycheeseam {

/// The result of the work that a span covers; Unset when it isn't known.
enum class span_result
{
  Unset,
  Ok,
  Error,
};

}

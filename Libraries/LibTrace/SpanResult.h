#pragma once

namespace lycheeseam {

/// How the work of a span ended.
enum class span_result
{
  Unset,
  Ok,
  Error,
};

}

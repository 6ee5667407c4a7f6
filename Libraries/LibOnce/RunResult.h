#pragma once

namespace lycheeseam {

/// How a run under a permit ended.
enum class run_result
{
  /// The server gave its whole answer.
  Completed,
  /// The server crashed.
  Crashed,
  /// Not sent, cancelled or timed out: it proves nothing.
  Unknown,
};

}

#pragma once

namespace lycheeseam {

/// Whether a workspace's token budget covered a request on its arrival.
enum class budget_state
{
  /// The tokens were available at once.
  Within,
  /// The request had to wait for tokens: the workspace is at its rate limit.
  Exhausted,
};

}

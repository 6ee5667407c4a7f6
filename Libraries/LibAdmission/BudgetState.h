#pragma once

namespace lycheeseam {

/// How a request met its workspace's rate and burst.
enum class budget_state
{
  /// Its tokens were there at once.
  Within,
  /// It had to wait for tokens: the workspace sends all that it may.
  Exhausted,
};

}

#pragma once

namespace lycheeseam {

/// Whether this instance reaches the platform's log.
enum class log_state
{
  Reachable,
  Unreachable,
};

}

#pragma once

namespace lycheeseam {

/// Whether the platform's log answers.
enum class log_state
{
  Reachable,
  Out,
};

}

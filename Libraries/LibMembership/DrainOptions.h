#pragma once

#include <LibCore/Instant.h>

#include <chrono>

namespace lycheeseam {

/// Durations of the phases of a planned stop.
struct drain_options
{
  /// How long callers use the addresses that they resolved.
  duration mAddressTtl = std::chrono::seconds{ 10 };
  /// How long the stop takes to reach every instance; from then on none of them
  /// gives this instance's address to callers.
  duration mPropagationTime = std::chrono::seconds{ 2 };
  /// How long open requests may take after both times have passed.
  duration mFinishTimeout = std::chrono::minutes{ 10 };
};

}

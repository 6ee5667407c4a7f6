#pragma once

#include <LibCore/Instant.h>

#include <chrono>
#include <cstdint>

namespace lycheeseam {

/// Options of a circuit_breaker.
struct circuit_breaker_options
{
  /// Consecutive failures that open the breaker.
  std::uint32_t mFailureThreshold = 3;
  /// How long the breaker stays open at first; each failed probe doubles it.
  duration mInitialOpenTime = std::chrono::milliseconds{ 500 };
  /// The longest time that it stays open before the next probe.
  duration mMaxOpenTime = std::chrono::seconds{ 10 };
};

}

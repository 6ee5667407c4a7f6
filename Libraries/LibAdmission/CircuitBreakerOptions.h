#pragma once

#include <LibCore/Instant.h>

#include <chrono>
#include <cstdint>

namespace lycheeseam {

/// Bounds of a circuit_breaker.
struct circuit_breaker_options
{
  /// Failures in a row that open the breaker.
  std::uint32_t mFailureThreshold = 3;
  /// How long the breaker first stays open; doubled by each failed probe.
  duration mFirstOpen = std::chrono::milliseconds{ 500 };
  /// The longest that it stays open.
  duration mLongestOpen = std::chrono::seconds{ 10 };
};

}

#pragma once

#include <LibCore/Instant.h>

#include <chrono>

namespace lycheeseam {

/// How a cold backend server is brought back to its full share.
struct slow_start_options
{
  /// How long the ramp takes.
  duration mRamp = std::chrono::seconds{ 5 };
  /// The share of its window at the ramp's start, from 0 to 1.
  double mFirstShare = 0.2;
};

}

#pragma once

#include <LibCore/Instant.h>

#include <chrono>

namespace lycheeseam {

/// Options of slow_start.
struct slow_start_options
{
  /// Time from the cold start to the full share.
  duration mRampTime = std::chrono::seconds{ 5 };
  /// The share of a warm server's window at the start of the ramp, from 0 to 1.
  double mInitialShare = 0.2;
};

}

#pragma once

#include <LibCore/Instant.h>

#include <chrono>

namespace lycheeseam {

/// Time limits of freshness.
struct freshness_options
{
  /// The maximum age of knowledge about the log's tail and about peers.
  duration mBound = std::chrono::milliseconds{ 3000 };
  /// A longer gap between two ticks means that the process was paused.
  duration mPauseLimit = std::chrono::milliseconds{ 1000 };
};

}

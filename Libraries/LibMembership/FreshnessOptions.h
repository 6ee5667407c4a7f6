#pragma once

#include <LibCore/Instant.h>

#include <chrono>

namespace lycheeseam {

/// Time limits of freshness.
struct freshness_options
{
  /// The maximum age of knowledge about the log's tail and about peers. A fleet
  /// of 330 instances needs a larger one, since the tail reaches most of them
  /// over a few links, each of which adds up to one heartbeat interval.
  duration mBound = std::chrono::milliseconds{ 3000 };
  /// A longer gap between two ticks means that the process was paused.
  duration mPauseLimit = std::chrono::milliseconds{ 1000 };
};

}

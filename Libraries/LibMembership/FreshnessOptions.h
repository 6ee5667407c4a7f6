#pragma once

#include <LibCore/Instant.h>

#include <chrono>

namespace lycheeseam {

/// Bounds of the freshness rule.
struct freshness_options
{
  /// How old the knowledge of the log's tail, and of peers, may be.
  duration mBound = std::chrono::milliseconds{ 3000 };
  /// A longer gap between two ticks means that the process was paused.
  duration mPauseLimit = std::chrono::milliseconds{ 1000 };
};

}

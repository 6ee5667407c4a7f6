#pragma once

#include <LibCore/Instant.h>

#include <chrono>

namespace lycheeseam {

/// Intervals of fixed heartbeats.
struct fixed_heartbeat_options
{
  /// Between two heartbeats to the peer.
  duration mInterval = std::chrono::milliseconds{ 1000 };
  /// A peer silent for this long counts as dead.
  duration mTimeout = std::chrono::milliseconds{ 4000 };
};

}

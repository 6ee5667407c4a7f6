#pragma once

#include <LibCore/Instant.h>

#include <chrono>

namespace lycheeseam {

/// Intervals of fixed_heartbeat_supervisor.
struct fixed_heartbeat_options
{
  /// The time between two heartbeats to the peer.
  duration mInterval = std::chrono::milliseconds{ 1000 };
  /// A peer that sends no heartbeat for this long counts as dead.
  duration mTimeout = std::chrono::milliseconds{ 4000 };
};

}

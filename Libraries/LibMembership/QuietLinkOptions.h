#pragma once

#include <LibCore/Instant.h>

#include <chrono>
#include <cstdint>

namespace lycheeseam {

/// Intervals and limits of quiet_link_supervisor.
struct quiet_link_options
{
  /// The time between two heartbeats, which are sent also over a busy link
  /// since they report the log's tail; zero for none.
  duration mHeartbeatInterval = std::chrono::milliseconds{ 1000 };
  /// A link that receives no traffic for this long is pinged.
  duration mQuietInterval = std::chrono::milliseconds{ 1500 };
  /// The time between two pings of an unresponsive peer.
  duration mPingInterval = std::chrono::milliseconds{ 300 };
  /// The number of unanswered pings after which the peer counts as dead, one
  /// ping interval after the last: with these values 3 s after its last
  /// message.
  std::uint32_t mPingLimit = 5;
};

}

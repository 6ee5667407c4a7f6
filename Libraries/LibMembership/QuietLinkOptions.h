#pragma once

#include <LibCore/Instant.h>

#include <chrono>
#include <cstdint>

namespace lycheeseam {

/// Intervals of the supervision of quiet links.
struct quiet_link_options
{
  /// Between two heartbeats that leave whatever else the link carries, since
  /// they tell of the log; zero for none.
  duration mBeatInterval = std::chrono::milliseconds{ 1000 };
  /// A link without traffic for this long is pinged.
  duration mQuietInterval = std::chrono::milliseconds{ 1500 };
  /// Between two pings of a silent peer.
  duration mPingInterval = std::chrono::milliseconds{ 300 };
  /// Unanswered pings after which the peer counts as dead.
  std::uint32_t mPingLimit = 5;
};

}

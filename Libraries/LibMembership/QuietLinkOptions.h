#pragma once

#include <LibCore/Instant.h>

#include <chrono>
#include <cstdint>

namespace lycheeseam {

/// Intervals of the supervision of quiet links.
struct quiet_link_options
{
  /// A link without traffic for this long is pinged.
  duration mQuietInterval = std::chrono::milliseconds{ 1000 };
  /// Between two pings of a silent peer.
  duration mPingInterval = std::chrono::milliseconds{ 400 };
  /// Unanswered pings after which the peer counts as dead.
  std::uint32_t mPingLimit = 5;
};

}

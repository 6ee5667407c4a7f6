#pragma once

#include <LibCore/Instant.h>
#include <LibPeer/DialOptions.h>

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace lycheeseam {

/// Limits and intervals of the links of one process.
struct peer_hub_options
{
  /// Larger messages are not sent; a larger frame from a peer closes the link.
  std::size_t mMaxFrameBytes = 16 << 20;
  /// The most that waits or is being written on one link; messages beyond it
  /// are dropped.
  std::size_t mMaxQueueBytes = 32 << 20;
  /// Limit from the opening of a connection to the peer's hello.
  duration mHelloTimeout = std::chrono::seconds{ 2 };
  /// Interval between checks for due dials and unresponsive links.
  std::chrono::milliseconds mTick{ 100 };
  dial_options mDial;
  /// Seed of the jitter of dial backoffs.
  std::uint32_t mSeed = 0;
};

}

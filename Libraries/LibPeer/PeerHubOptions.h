#pragma once

#include <LibCore/Instant.h>
#include <LibPeer/DialOptions.h>

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace lycheeseam {

/// Bounds and intervals of the links of one process.
struct peer_hub_options
{
  std::size_t mMaxFrameBytes = 16 << 20;
  std::size_t mMaxQueueBytes = 32 << 20;
  /// From the start of a connection to the peer's hello.
  duration mHelloTimeout = std::chrono::seconds{ 2 };
  /// Between two looks at dials and at quiet links.
  std::chrono::milliseconds mTick{ 100 };
  dial_options mDial;
  /// Of the jitter between dials.
  std::uint32_t mSeed = 0;
};

}

#pragma once

#include <cstdint>

namespace lycheeseam {

/// Limits on the memory and streams that one process holds for callers and
/// peers.
struct limit_settings
{
  /// The largest request body accepted from a caller, in bytes.
  std::uint64_t mMaxBodyBytes = 16 << 20;
  /// The most streams open at once.
  std::uint32_t mMaxOpenStreams = 4096;
  /// The most bytes queued for one stream whose caller reads slowly.
  std::uint64_t mMaxStreamQueueBytes = 1 << 20;
  /// The largest frame received from or sent to a peer, in bytes.
  std::uint64_t mMaxPeerFrameBytes = 16 << 20;
  /// The most bytes queued for one peer.
  std::uint64_t mMaxPeerQueueBytes = 32 << 20;

  bool operator==(limit_settings const&) const = default;
};

}

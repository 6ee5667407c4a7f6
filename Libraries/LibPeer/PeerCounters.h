#pragma once

#include <LibPeer/LinkCloseReason.h>

#include <array>
#include <cstdint>

namespace lycheeseam {

/// What happened on all links since the start.
struct peer_counters
{
  std::uint64_t mDialled = 0;
  std::uint64_t mAccepted = 0;
  std::uint64_t mFramesSent = 0;
  std::uint64_t mBytesSent = 0;
  std::uint64_t mFramesReceived = 0;
  std::uint64_t mBytesReceived = 0;
  /// Messages dropped since a queue was full or the message too large.
  std::uint64_t mDropped = 0;
  /// Ended links, by link_close_reason.
  std::array<std::uint64_t, kLinkCloseReasons> mClosed{};
};

}

#pragma once

#include <LibPeer/LinkCloseReason.h>

#include <array>
#include <cstdint>

namespace lycheeseam {

/// Counts over all links since the process started.
struct peer_counters
{
  std::uint64_t mDialled = 0;
  std::uint64_t mAccepted = 0;
  std::uint64_t mFramesSent = 0;
  /// Bytes of the frames, headers included.
  std::uint64_t mBytesSent = 0;
  std::uint64_t mFramesReceived = 0;
  /// Bytes of the frames' content, without the headers.
  std::uint64_t mBytesReceived = 0;
  /// Messages dropped because a queue was full or the message too large.
  std::uint64_t mDropped = 0;
  /// Closed links, by link_close_reason.
  std::array<std::uint64_t, kLinkCloseReasons> mClosed{};
};

}

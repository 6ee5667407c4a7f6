#pragma once

#include <LibCore/Identifiers.h>
#include <LibPeer/HeartbeatAnswer.h>

#include <chrono>

namespace lycheeseam {

/// A sign of life with what its sender knows of the log.
struct peer_heartbeat
{
  heartbeat_answer mAnswer = heartbeat_answer::NotWanted;
  bool mIsLeaving = false;
  /// The sender has applied every entry up to this one.
  log_offset mApplied;
  /// The newest tail of the log that the sender knows of.
  log_offset mTail;
  /// How long ago that tail was read from the platform, by anyone.
  std::chrono::milliseconds mTailAge{ 0 };

  bool operator==(peer_heartbeat const&) const = default;
};

}

#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
#include <LibMembership/DomainObservation.h>
#include <LibMembership/TailObservation.h>
#include <LibPeer/HeartbeatAnswer.h>

#include <optional>
#include <vector>

namespace lycheeseam {

/// Shows that its sender is running, with what the sender knows of the log and
/// of failure domains.
struct peer_heartbeat
{
  heartbeat_answer mAnswer = heartbeat_answer::NotWanted;
  bool mIsLeaving = false;
  /// When it was sent, by the sender's clock; set by the link.
  instant mSentAt{};
  /// The mSentAt of the last heartbeat that the sender had received on the
  /// link, so by the receiver's clock; set by the link.
  std::optional<instant> mEcho;
  /// The sender has applied every entry up to this one.
  log_offset mApplied;
  /// What the sender knows of the log's tail.
  std::optional<tail_observation> mTail;
  std::vector<domain_observation> mDomains;

  bool operator==(peer_heartbeat const&) const = default;
};

}

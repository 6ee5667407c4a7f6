#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
#include <LibMembership/DomainCode.h>
#include <LibMembership/DomainObservation.h>
#include <LibMembership/TailObservation.h>

#include <optional>
#include <vector>

namespace lycheeseam {

/// What a peer said of itself, of the log and of failure domains, after it had
/// received a message that this instance sent.
struct peer_observation
{
  instance_id mPeer;
  domain_code mDomain;
  /// When that message was sent, by this instance's clock. All that the peer
  /// said was true no earlier: it may have waited in buffers since, however
  /// long, and no two clocks are compared.
  instant mEchoedSentAt;
  /// What the peer knew of the log's tail when it spoke.
  std::optional<tail_observation> mTail;
  std::vector<domain_observation> mDomains;
};

}

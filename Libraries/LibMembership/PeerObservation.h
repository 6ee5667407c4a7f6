#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
#include <LibMembership/DomainCode.h>
#include <LibMembership/DomainObservation.h>
#include <LibMembership/TailObservation.h>

#include <optional>
#include <vector>

namespace lycheeseam {

/// What a peer reported of itself, the log and failure domains, after it
/// received a message of this instance.
struct peer_observation
{
  instance_id mPeer;
  domain_code mDomain;
  /// When this instance sent that message, by its own clock. The report was
  /// made at this time or later, however long it waited in buffers since, and
  /// no clocks of two processes are compared.
  instant mEchoedSentAt;
  /// The log's tail as the peer knew it when it reported.
  std::optional<tail_observation> mTail;
  std::vector<domain_observation> mDomains;
};

}

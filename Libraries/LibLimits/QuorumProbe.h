#pragma once

#include <LibCore/InstanceIdentity.h>
#include <LibCore/Instant.h>

namespace lycheeseam {

/// Requests a quorum_answer from a peer. Counts as a heartbeat of its sender.
struct quorum_probe
{
  instance_identity mFrom;
  /// By the sender's clock; the answer repeats it.
  instant mSentAt;

  bool operator==(quorum_probe const&) const = default;
};

}

#pragma once

#include <LibCore/InstanceIdentity.h>
#include <LibCore/Instant.h>

namespace lycheeseam {

/// Asks a peer for its quorum answer on budget slots, and counts as a heartbeat
/// itself.
struct quorum_probe
{
  instance_identity mFrom;
  /// By the prober's clock; the word repeats it.
  instant mSentAt;

  bool operator==(quorum_probe const&) const = default;
};

}

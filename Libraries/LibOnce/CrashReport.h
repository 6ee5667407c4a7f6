#pragma once

#include <LibCore/Digest.h>
#include <LibCore/ServerIdentity.h>

#include <vector>

namespace lycheeseam {

/// Reports to all instances that a backend server crashed, and fingerprints
/// that were running on it: those of the sender's own requests, or those for
/// which the sender, as their owner, had granted permits.
struct crash_report
{
  server_identity mServer;
  std::vector<digest> mFingerprints;

  bool operator==(crash_report const&) const = default;
};

}

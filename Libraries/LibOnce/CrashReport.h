#pragma once

#include <LibCore/Digest.h>
#include <LibCore/ServerIdentity.h>

#include <vector>

namespace lycheeseam {

/// Reports to all instances that a backend server crashed, and the fingerprints
/// that the sender had running on it.
struct crash_report
{
  server_identity mServer;
  std::vector<digest> mFingerprints;

  bool operator==(crash_report const&) const = default;
};

}

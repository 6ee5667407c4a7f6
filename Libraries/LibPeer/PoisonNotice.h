#pragma once

#include <LibCore/Digest.h>
#include <LibCore/Identifiers.h>

#include <chrono>

namespace lycheeseam {

/// Reports that a request was running on a backend server when the server
/// crashed. Notices of the same incarnation of a server count once.
struct poison_notice
{
  /// The hash of the request's workspace and body.
  digest mFingerprint;
  backend_server_id mServer;
  incarnation mIncarnation;
  /// How long the notice counts.
  std::chrono::milliseconds mExpiresAfter{ 0 };

  bool operator==(poison_notice const&) const = default;
};

}

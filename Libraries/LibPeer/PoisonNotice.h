#pragma once

#include <LibCore/Digest.h>
#include <LibCore/Identifiers.h>

#include <chrono>

namespace lycheeseam {

/// A request was running on a backend server when that crashed. Notices of
/// the same life of a server count once.
struct poison_notice
{
  /// Of the request's workspace and body.
  digest mFingerprint;
  backend_server_id mServer;
  incarnation mIncarnation;
  /// How long the notice counts.
  std::chrono::milliseconds mLapse{ 0 };

  bool operator==(poison_notice const&) const = default;
};

}

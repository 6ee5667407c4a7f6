#pragma once

#include <LibCore/Digest.h>
#include <LibCore/InstanceIdentity.h>
#include <LibCore/ServerIdentity.h>

namespace lycheeseam {

/// Requests a permit from a fingerprint's owner to run it on a server.
struct permit_request
{
  instance_identity mFrom;
  request_id mRequest;
  /// The digest of workspace and body.
  digest mFingerprint;
  server_identity mServer;
  /// The server on which the fingerprint may run without a permit; all
  /// instances select the same one.
  backend_server_id mFallback;

  bool operator==(permit_request const&) const = default;
};

}

#pragma once

#include <LibCore/Digest.h>
#include <LibCore/Identifiers.h>
#include <LibCore/InstanceIdentity.h>

#include <cstddef>

namespace lycheeseam {

/// A request that a server of a poison_fleet runs.
struct poison_run
{
  std::size_t mMember = 0;
  instance_identity mIdentity;
  request_id mRequest;
  digest mFingerprint;
  bool mIsSuspect = false;
};

}

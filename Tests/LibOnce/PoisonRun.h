#pragma once

#include <LibCore/Digest.h>
#include <LibCore/Identifiers.h>
#include <LibCore/InstanceIdentity.h>

#include <cstddef>

namespace lycheeseam {

/// A request that is running on a server of a poison_fleet.
struct poison_run
{
  std::size_t mMember = 0;
  instance_identity mIdentity;
  request_id mRequest;
  digest mFingerprint;
  bool mIsSuspect = false;
};

}

#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// An instance that is ready for callers, with the address that callers use.
struct ready_instance
{
  instance_id mInstance;
  failure_domain mDomain;
  endpoint mAddress;
  /// Where peers ask it for tunnels to servers; port 0 when it opens none.
  endpoint mTunnels;

  bool operator==(ready_instance const&) const = default;
};

}

#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>
#include <LibCore/InstanceIdentity.h>
#include <LibMembership/MemberState.h>

namespace lycheeseam {

/// One instance of the fleet, as far as this instance knows.
struct member
{
  instance_identity mIdentity;
  failure_domain mFailureDomain;
  /// The address for callers' requests.
  endpoint mCallers;
  /// The address for links from other instances.
  endpoint mPeers;
  member_state mState = member_state::Live;

  bool operator==(member const&) const = default;
};

}

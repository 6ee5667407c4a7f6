#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>
#include <LibPlatform/InstanceState.h>

namespace lycheeseam {

/// One entry of the platform's list of instances, which may lag.
struct listed_instance
{
  instance_id mId;
  incarnation mIncarnation;
  /// The address for callers.
  endpoint mCallers;
  /// The address for other instances.
  endpoint mPeers;
  failure_domain mFailureDomain;
  instance_state mState = instance_state::Live;

  bool operator==(listed_instance const&) const = default;
};

}

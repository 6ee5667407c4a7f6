#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>
#include <LibPlatform/InstanceState.h>

namespace lycheeseam {

/// One line of the platform's lagging list of instances.
struct listed_instance
{
  instance_id mId;
  incarnation mIncarnation;
  /// Where callers connect.
  endpoint mCallers;
  /// Where other instances connect.
  endpoint mPeers;
  failure_domain mFailureDomain;
  instance_state mState = instance_state::Live;

  bool operator==(listed_instance const&) const = default;
};

}

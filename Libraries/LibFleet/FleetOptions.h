#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// What the control thread of an instance is told at its start.
struct fleet_options
{
  instance_id mInstance;
  failure_domain mDomain;
  endpoint mCallers;
  endpoint mPeers;
  endpoint mStore;
};

}

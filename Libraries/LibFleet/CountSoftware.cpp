#include <LibFleet/CountSoftware.h>

namespace lycheeseam {

rollout_inputs
CountSoftware(std::span<registered_server const> aServers,
              rollout_order const& aOrder)
{
  rollout_inputs inputs;
  for (registered_server const& server : aServers) {
    if (server.mPool != aOrder.mPool || server.mStage != server_stage::Ready)
      continue;
    software_servers& side =
      server.mSoftware == aOrder.mTarget ? inputs.mTarget : inputs.mOthers;
    ++side.mServers;
    side.mSlots += server.mSlots;
  }
  return inputs;
}

}

#pragma once

#include <LibDispatch/RegisteredServer.h>
#include <LibRollout/RolloutInputs.h>
#include <LibRollout/RolloutOrder.h>

#include <span>

namespace lycheeseam {

/// Counts the ready servers of the order's pool on both of its sides.
rollout_inputs
CountSoftware(std::span<registered_server const> aServers,
              rollout_order const& aOrder);

}

#pragma once

#include <LibDispatch/RegisteredServer.h>
#include <LibFleet/KnownOrder.h>
#include <LibPeer/RolloutDrain.h>

#include <cstdint>
#include <span>
#include <vector>

namespace lycheeseam {

/// What rollout_driver decides from at a moment.
struct rollout_context
{
  std::span<known_order const> mOrders;
  std::span<registered_server const> mServers;
  /// The lease on orders that this instance holds; 0 for none.
  std::uint64_t mLease = 0;
  /// The newest lease of a live peer; 0 for none.
  std::uint64_t mPeerLease = 0;
  /// What this instance and all live peers have drained.
  std::vector<rollout_drain> mDrained;
};

}

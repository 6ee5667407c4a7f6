#pragma once

#include <LibDispatch/FleetView.h>
#include <LibFleet/PeerRegistry.h>

namespace lycheeseam {

/// Sets what a view says of the other instances, and adds the servers that they
/// update.
void
DescribePeers(instant aNow, peer_registry const& aPeers, fleet_view& aView);

}

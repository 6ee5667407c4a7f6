#pragma once

#include <LibGateway/PeerUpdate.h>
#include <LibPeer/FleetReport.h>

#include <vector>

namespace lycheeseam {

/// What the traffic thread needs of a peer's report. aLoads are the reported
/// loads that are new.
peer_update
MakePeerUpdate(fleet_report const& aReport, std::vector<observed_load> aLoads);

}

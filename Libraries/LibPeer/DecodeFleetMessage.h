#pragma once

#include <LibPeer/FleetMessage.h>

#include <PeerMessage_generated.h>

namespace lycheeseam {

/// Each decodes a verified table into its message; throws invalid_input.
fleet_message
DecodeFleetMessage(wire::FleetReport const& aTable);
fleet_message
DecodeFleetMessage(wire::TopicRelay const& aTable);
fleet_message
DecodeFleetMessage(wire::FleetRoster const& aTable);

}

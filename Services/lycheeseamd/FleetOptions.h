#pragma once

#include <LibFleet/FleetOptions.h>
#include <LibGateway/GatewayOptions.h>
#include <LibSettings/FleetSettings.h>

namespace lycheeseam {

/// What the settings tell the traffic thread.
gateway_options
MakeGatewayOptions(fleet_settings const& aSettings);

/// What the settings tell the control thread; each call is a new life.
fleet_options
MakeFleetOptions(fleet_settings const& aSettings);

}

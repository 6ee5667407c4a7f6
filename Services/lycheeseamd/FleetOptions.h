#pragma once

#include <LibFleet/FleetOptions.h>
#include <LibGateway/GatewayOptions.h>
#include <LibSettings/FleetSettings.h>

namespace lycheeseam {

/// The traffic thread's options, made from the settings.
gateway_options
MakeGatewayOptions(fleet_settings const& aSettings);

/// The control thread's options, made from the settings. Each call gives the
/// instance a new incarnation.
fleet_options
MakeFleetOptions(fleet_settings const& aSettings);

}

#pragma once

#include <LibSettings/FleetSettings.h>

#include <string>
#include <string_view>

namespace lycheeseam {

/// Checks a settings file's text whole; throws settings_error, which holds
/// all its faults.
fleet_settings
ParseFleetSettings(std::string_view aText);

/// Reads and checks a settings file; throws settings_error.
fleet_settings
LoadFleetSettings(std::string const& aPath);

}

#pragma once

#include <LibSettings/FleetSettings.h>

#include <string>
#include <string_view>

namespace lycheeseam {

/// Parses and checks the text of a settings file; throws settings_error, which
/// lists all faults.
fleet_settings
ParseFleetSettings(std::string_view aText);

/// Reads and checks a settings file; throws settings_error.
fleet_settings
LoadFleetSettings(std::string const& aPath);

}

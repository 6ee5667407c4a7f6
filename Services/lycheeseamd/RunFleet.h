#pragma once

#include <string>

namespace lycheeseam {

/// Runs an instance that keeps its state in the platform's store until a stop
/// signal comes, then ends the process. Throws settings_error when the settings
/// are invalid.
void
RunFleet(std::string const& aSettingsPath);

}

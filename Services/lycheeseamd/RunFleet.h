#pragma once

#include <string>

namespace lycheeseam {

/// Runs an instance whose state lies in a platform's store until it is told to
/// stop, and ends the process. Throws settings_error when the settings have
/// faults.
void
RunFleet(std::string const& aSettingsPath);

}

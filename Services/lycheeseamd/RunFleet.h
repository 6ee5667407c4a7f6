#pragma once

#include "StopSignals.h"

#include <string>

namespace lycheeseam {

/// Runs an instance that keeps its state in the platform's store until a stop
/// signal comes, then ends the process. Throws settings_error when the settings
/// are invalid, and error when an address that it listens at stays in use.
void
RunFleet(std::string const& aSettingsPath, stop_signals const& aSignals);

}

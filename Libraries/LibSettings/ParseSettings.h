#pragma once

#include <LibSettings/DaemonSettings.h>

#include <string>
#include <string_view>

namespace lycheeseam {

/// Checks a settings file's text whole; throws settings_error, which holds
/// all its faults.
daemon_settings
ParseSettings(std::string_view aText);

/// Reads and checks a settings file; throws settings_error.
daemon_settings
LoadSettings(std::string const& aPath);

}

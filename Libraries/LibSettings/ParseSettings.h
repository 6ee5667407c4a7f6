#pragma once

#include <LibSettings/DaemonSettings.h>

#include <string>
#include <string_view>

namespace lycheeseam {

/// Parses and checks the text of a settings file; throws settings_error, which
/// lists all faults.
daemon_settings
ParseSettings(std::string_view aText);

/// Reads and checks a settings file; throws settings_error.
daemon_settings
LoadSettings(std::string const& aPath);

}

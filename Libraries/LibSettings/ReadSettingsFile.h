#pragma once

#include <string>

namespace lycheeseam {

/// Returns the text of a settings file; throws settings_error when the file
/// can't be read.
std::string
ReadSettingsFile(std::string const& aPath);

}

#pragma once

#include <string>

namespace lycheeseam {

/// The text of a settings file; throws settings_error when it can't be read.
std::string
ReadSettingsFile(std::string const& aPath);

}

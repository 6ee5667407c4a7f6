#pragma once

#include <LibSettings/SettingsFault.h>

#include <nlohmann/json_fwd.hpp>

#include <string_view>
#include <vector>

namespace lycheeseam {

/// Parses JSON and notes a fault for each field that stands twice in an
/// object. Throws settings_error when the text is not JSON at all.
nlohmann::json
ParseUniqueJson(std::string_view aText, std::vector<settings_fault>& aFaults);

}

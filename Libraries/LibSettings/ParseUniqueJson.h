#pragma once

#include <LibSettings/SettingsFault.h>

#include <nlohmann/json_fwd.hpp>

#include <string_view>
#include <vector>

namespace lycheeseam {

/// Parses JSON and adds a fault for each duplicate field of an object. Throws
/// settings_error when the text is not valid JSON.
nlohmann::json
ParseUniqueJson(std::string_view aText, std::vector<settings_fault>& aFaults);

}

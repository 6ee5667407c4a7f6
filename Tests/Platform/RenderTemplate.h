#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace lycheeseam {

/// Fills in a settings template as the platform does, as far as the project's
/// template needs: values, values as JSON, and sections without nesting that
/// are left out when their value is missing.
std::string
RenderTemplate(std::string_view aTemplate, nlohmann::json const& aFields);

}

#pragma once

#include <LibCore/Identifiers.h>

#include <string>
#include <string_view>

namespace lycheeseam {

/// The completion request's body with "max_tokens" added. The body is a JSON
/// object with at least one field.
std::string
AddMaxTokens(std::string_view aBody, token_count aLimit);

/// The completion request's body with the answer's text so far added, behind
/// which the engine is to go on.
std::string
AddResumeFrom(std::string_view aBody, std::string_view aText);

}

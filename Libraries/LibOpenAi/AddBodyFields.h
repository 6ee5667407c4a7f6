#pragma once

#include <LibCore/Identifiers.h>

#include <string>
#include <string_view>

namespace lycheeseam {

/// Adds "max_tokens" to a completion request's body, a JSON object with at
/// least one field.
std::string
AddMaxTokens(std::string_view aBody, token_count aLimit);

/// Adds "resume_from" to such a body: the answer's text so far, after which the
/// engine continues.
std::string
AddResumeFrom(std::string_view aBody, std::string_view aText);

}

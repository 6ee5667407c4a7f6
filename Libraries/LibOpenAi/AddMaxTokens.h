#pragma once

#include <LibCore/Identifiers.h>

#include <string>
#include <string_view>

namespace lycheeseam {

/// The completion request's body with "max_tokens" added. The body is a JSON
/// object with at least one field, and no "max_tokens" of its own.
std::string
AddMaxTokens(std::string_view aBody, token_count aLimit);

}

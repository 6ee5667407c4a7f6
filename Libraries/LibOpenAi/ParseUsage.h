#pragma once

#include <LibRequest/TokenUsage.h>

#include <optional>
#include <string_view>

namespace lycheeseam {

/// Reads "usage" from the JSON of a completion or of a stream's event; nothing
/// when the text is not JSON or has no usage.
std::optional<token_usage>
ParseUsage(std::string_view aJson);

}

#pragma once

#include <LibRequest/TokenUsage.h>

#include <optional>
#include <string_view>

namespace lycheeseam {

/// Reads "usage" from a completion or from a stream's event; nothing when
/// the text is not JSON or has none.
std::optional<token_usage>
ParseUsage(std::string_view aJson);

}

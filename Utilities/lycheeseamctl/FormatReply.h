#pragma once

#include <string>
#include <string_view>

namespace lycheeseam {

/// Formats a JSON response for reading: a list of rows with one line per row
/// and its version, other JSON indented. Text that isn't JSON is returned as it
/// is.
std::string
FormatReply(std::string_view aBody);

}

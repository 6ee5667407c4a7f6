#pragma once

#include <string>
#include <string_view>

namespace lycheeseam {

/// An answer's JSON for people: a list of rows as a line each with its
/// version, anything else with a field a line. Text that is no JSON is left.
std::string
FormatReply(std::string_view aBody);

}

#pragma once

#include <string>
#include <string_view>

namespace lycheeseam {

/// The text that a stream's events have brought so far.
std::string
AnswerText(std::string_view aEvents);

}

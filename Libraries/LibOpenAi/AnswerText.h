#pragma once

#include <string>
#include <string_view>

namespace lycheeseam {

/// Joins the text of the first choice in each of a stream's server-sent events.
/// Events without text are skipped.
std::string
AnswerText(std::string_view aEvents);

}

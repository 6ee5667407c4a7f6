#pragma once

#include <LibRequest/CompletionParameters.h>

#include <string_view>

namespace lycheeseam {

/// Reads the parameters that routing needs from a completion request's JSON
/// body. Throws invalid_input that names the invalid field.
completion_parameters
ParseCompletion(std::string_view aBody);

}

#pragma once

#include <LibRequest/CompletionParameters.h>

#include <string_view>

namespace lycheeseam {

/// Reads what routing needs from a completion request's JSON body. Throws
/// invalid_input naming the field at fault.
completion_parameters
ParseCompletion(std::string_view aBody);

}

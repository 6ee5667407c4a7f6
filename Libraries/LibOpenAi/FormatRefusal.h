#pragma once

#include <LibCore/Identifiers.h>
#include <LibRequest/Refusal.h>

#include <string>

namespace lycheeseam {

/// Formats a refusal as an error body of the OpenAI API, with the verdict as an
/// additional field.
std::string
FormatRefusal(refusal const& aRefusal, request_id const& aRequest);

/// Formats a refusal as the last event of a stream that has begun.
std::string
FormatRefusalEvent(refusal const& aRefusal, request_id const& aRequest);

}

#pragma once

#include <LibCore/Identifiers.h>
#include <LibRequest/Refusal.h>

#include <string>

namespace lycheeseam {

/// A refusal in the shape of OpenAI's errors, with the verdict beside it.
std::string
FormatRefusal(refusal const& aRefusal, request_id const& aRequest);

/// The refusal as the last event of a stream that had begun.
std::string
FormatRefusalEvent(refusal const& aRefusal, request_id const& aRequest);

}

#pragma once

#include <LibRequest/CallerRequest.h>
#include <LibRequest/Refusal.h>

#include <pistache/http.h>

#include <variant>

namespace lycheeseam {

/// A decoded request, or why it can't be one.
using decoded_call = std::variant<caller_request, refusal>;

/// Turns an HTTP request into the form that decisions read. The caller's key
/// is replaced by its digest here and goes no further.
decoded_call
DecodeCall(Pistache::Http::Request const& aRequest,
           call_number aCall,
           request_id const& aId);

}

#pragma once

#include <LibRequest/CallerRequest.h>
#include <LibRequest/Refusal.h>

#include <pistache/http.h>

#include <variant>

namespace lycheeseam {

/// A decoded request, or the refusal of an invalid one.
using decoded_call = std::variant<caller_request, refusal>;

/// Decodes an HTTP request of a caller. Only the digest of the caller's key is
/// kept, not the key.
decoded_call
DecodeCall(Pistache::Http::Request const& aRequest,
           call_number aCall,
           request_id const& aId);

}

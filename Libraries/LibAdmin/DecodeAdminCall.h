#pragma once

#include <LibAdmin/AdminCall.h>

#include <pistache/http.h>

#include <string>

namespace lycheeseam {

/// Decodes an operator's call from its HTTP request. Throws invalid_input for
/// an unsupported method, path or If-Match.
admin_call
DecodeAdminCall(Pistache::Http::Request const& aRequest, std::string aOperator);

}

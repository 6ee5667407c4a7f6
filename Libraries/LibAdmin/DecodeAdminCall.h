#pragma once

#include <LibAdmin/AdminCall.h>

#include <pistache/http.h>

#include <string>

namespace lycheeseam {

/// Reads an operator's call from its HTTP request; throws invalid_input.
admin_call
DecodeAdminCall(Pistache::Http::Request const& aRequest, std::string aOperator);

}

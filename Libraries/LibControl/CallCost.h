#pragma once

#include <LibRequest/AdmittedRoute.h>
#include <LibRequest/CallerRequest.h>

namespace lycheeseam {

/// The longest answer that a call may get, in tokens: the request's own limit,
/// or its route's limit if the request sets none.
token_count
AnswerLimit(caller_request const& aRequest, route_row const& aRoute);

/// The tokens that a call is charged in advance: its prompt and its longest
/// answer; for a plain call the estimated tokens of its body, at least 1.
token_count
CallCost(caller_request const& aRequest, route_row const& aRoute);

}

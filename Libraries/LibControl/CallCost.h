#pragma once

#include <LibRequest/AdmittedRoute.h>
#include <LibRequest/CallerRequest.h>

namespace lycheeseam {

/// The largest answer that a call may get, in tokens: what the caller allows,
/// else what its route allows.
token_count
AnswerLimit(caller_request const& aRequest, route_row const& aRoute);

/// What a call is charged in advance: its prompt and its largest answer, in
/// tokens; for plain calls the tokens that its body would be.
token_count
CallCost(caller_request const& aRequest, route_row const& aRoute);

}

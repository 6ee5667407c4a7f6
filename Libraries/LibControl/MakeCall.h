#pragma once

#include <LibControl/CallState.h>
#include <LibRequest/AdmittedRoute.h>
#include <LibRequest/CallerRequest.h>

namespace lycheeseam {

/// Returns the state of a call that was admitted to a route, with its charge,
/// its prompt's blocks and the fingerprint that its repeats share.
call_state
MakeCall(caller_request aRequest, admitted_route aAdmitted);

}

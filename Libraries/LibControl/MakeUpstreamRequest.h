#pragma once

#include <LibControl/CallState.h>
#include <LibUpstream/UpstreamRequest.h>

namespace lycheeseam {

/// The call's next attempt as its backend server gets it: the caller's
/// headers that may go on, its workspace, priority and request id, and a
/// bound on the answer's length where the caller set none.
upstream_request
MakeUpstreamRequest(call_state const& aCall);

}

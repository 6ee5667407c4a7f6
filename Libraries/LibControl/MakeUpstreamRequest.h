#pragma once

#include <LibControl/CallState.h>
#include <LibUpstream/UpstreamRequest.h>

namespace lycheeseam {

/// Returns the call's next attempt as its backend server receives it: the
/// caller's forwardable headers, the workspace, priority and request id, and a
/// limit on the answer's length if the caller set none.
upstream_request
MakeUpstreamRequest(call_state const& aCall);

}

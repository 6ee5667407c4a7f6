#pragma once

#include <LibControl/AttemptResult.h>
#include <LibControl/CallState.h>
#include <LibOnce/OnceRequest.h>
#include <LibRecords/RequestOutcome.h>
#include <LibUpstream/UpstreamEnd.h>

/// \file How the end of an attempt affects its call.

namespace lycheeseam {

/// Returns what the end shows about the backend server.
attempt_result
ResultOf(upstream_end const& aEnd);

/// Whether another backend server may continue an interrupted stream.
bool
MayResume(call_state const& aCall, upstream_end const& aEnd);

/// The usage to settle for the call, in tokens: 0 if it did not run, else the
/// engine's own count, or the charge if the engine reported no count.
token_count
UsedTokens(call_state const& aCall, upstream_end const& aEnd);

/// The outcome to record for the call's claim in the log, if it has one.
request_outcome
OutcomeOf(call_state const& aCall, upstream_end const& aEnd);

/// The claim that the call requests from the once_gate.
once_request
ClaimOf(call_state const& aCall, instant aNow);

}

#pragma once

#include <LibControl/AttemptResult.h>
#include <LibControl/CallState.h>
#include <LibOnce/OnceRequest.h>
#include <LibRecords/RequestOutcome.h>
#include <LibUpstream/UpstreamEnd.h>

/// \file What an attempt's end means for its call.

namespace lycheeseam {

/// What the end says about the backend server.
attempt_result
ResultOf(upstream_end const& aEnd);

/// Whether another backend server may go on with a stream that was lost.
bool
MayResume(call_state const& aCall, upstream_end const& aEnd);

/// What is settled for the call, in tokens: the engine's own count where it
/// gave one, else what was charged.
token_count
UsedTokens(call_state const& aCall, upstream_end const& aEnd);

/// The outcome that the call's claim ends with, if it has one.
request_outcome
OutcomeOf(call_state const& aCall, upstream_end const& aEnd);

/// What the call asks the gate for.
once_request
ClaimOf(call_state const& aCall, instant aNow);

}

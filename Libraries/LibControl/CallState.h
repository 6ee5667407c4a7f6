#pragma once

#include <LibControl/CallPhase.h>
#include <LibPlacement/PrefixChain.h>
#include <LibRequest/AdmittedRoute.h>
#include <LibRequest/AttemptNumber.h>
#include <LibRequest/CallerRequest.h>

#include <set>

namespace lycheeseam {

/// What control knows of one open call.
struct call_state
{
  caller_request mRequest;
  admitted_route mAdmitted;
  call_phase mPhase = call_phase::Claiming;
  /// The prompt's blocks; empty for plain calls.
  prefix_chain mChain;
  /// Tokens charged in advance: the prompt and the largest answer.
  token_count mCharged = 0;
  attempt_number mAttempt;
  /// The backend server of the running attempt.
  backend_server mServer;
  /// Backend servers that were lost under this call.
  std::set<backend_server_id> mLost;
};

}

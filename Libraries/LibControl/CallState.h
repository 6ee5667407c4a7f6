#pragma once

#include <LibControl/CallPhase.h>
#include <LibPlacement/PrefixChain.h>
#include <LibRequest/AdmittedRoute.h>
#include <LibRequest/AttemptNumber.h>
#include <LibRequest/CallerRequest.h>

#include <set>
#include <string>

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
  /// True once the caller has the head of a streamed answer.
  bool mHasBegun = false;
  /// The text of a streamed answer whose backend servers were lost.
  std::string mTextSoFar;
  /// Of the workspace, method, path and body: equal for repeats.
  digest mFingerprint;
  /// Backend servers that were lost under this call.
  std::set<backend_server_id> mLost;
  /// True once the workspace's budget has paid for the call.
  bool mIsCharged = false;
  /// True when the caller has gone and the call runs on for its outcome.
  bool mIsAbandoned = false;

  /// Whether the call runs under a claim in the log.
  [[nodiscard]] bool IsClaimed() const
  {
    return mRequest.mIdempotencyKey.has_value() &&
           mAdmitted.mRoute.mIdempotency == idempotency::NonIdempotent;
  }

  /// The workspace that the call runs for; empty on routes open to all.
  [[nodiscard]] workspace_id Workspace() const
  {
    if (!mAdmitted.mWorkspace)
      return workspace_id{};
    return mAdmitted.mWorkspace->mName;
  }
};

}

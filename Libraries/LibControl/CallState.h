#pragma once

#include <LibControl/CallPhase.h>
#include <LibPlacement/PrefixChain.h>
#include <LibRequest/AdmittedRoute.h>
#include <LibRequest/AttemptNumber.h>
#include <LibRequest/CallerRequest.h>

#include <set>
#include <string>

namespace lycheeseam {

/// The control thread's state of one open call.
struct call_state
{
  caller_request mRequest;
  admitted_route mAdmitted;
  call_phase mPhase = call_phase::Claiming;
  /// The prompt's blocks; empty for plain calls.
  prefix_chain mChain;
  /// Tokens charged in advance, as returned by CallCost.
  token_count mCharged = 0;
  /// The number of the latest attempt; 0 before the first is sent.
  attempt_number mAttempt;
  /// The backend server of the latest attempt.
  backend_server mServer;
  /// True once an attempt was interrupted after it forwarded the head of a
  /// streamed answer; later attempts continue that answer.
  bool mHasBegun = false;
  /// The text forwarded by earlier, interrupted attempts of a streamed answer.
  std::string mForwardedText;
  /// Digest of workspace, method, target and body; equal for repeats.
  digest mFingerprint;
  /// Backend servers that failed during this call; retries exclude them.
  std::set<backend_server_id> mFailedServers;
  /// True once the call is charged to the workspace's budget.
  bool mIsCharged = false;
  /// True when the caller has disconnected and the call only continues so that
  /// its outcome is recorded.
  bool mIsAbandoned = false;

  /// Whether the call needs a claim in the log before it may run.
  [[nodiscard]] bool IsClaimed() const
  {
    return mRequest.mIdempotencyKey.has_value() &&
           mAdmitted.mRoute.mIdempotency == idempotency::NonIdempotent;
  }

  /// The workspace that the call is charged to; empty on open routes.
  [[nodiscard]] workspace_id Workspace() const
  {
    if (!mAdmitted.mWorkspace)
      return workspace_id{};
    return mAdmitted.mWorkspace->mName;
  }
};

}

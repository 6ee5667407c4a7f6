#include <LibControl/AttemptRules.h>

namespace lycheeseam {

attempt_result
ResultOf(upstream_end const& aEnd)
{
  if (aEnd.mFailure == transfer_failure::Cancelled)
    return attempt_result::Cancelled;
  return aEnd.mFailure == transfer_failure::None ? attempt_result::Answered
                                                 : attempt_result::Failed;
}

// A stream is resumed only once: each resumption makes its caller wait for
// another start, and a request on which two servers failed may be the cause of
// the failures.
bool
MayResume(call_state const& aCall, upstream_end const& aEnd)
{
  bool const isInterrupted =
    aEnd.mFailure == transfer_failure::ConnectionLost ||
    aEnd.mFailure == transfer_failure::Stalled;
  bool const isOpen = aEnd.mForwardedBytes > 0 && !aCall.mIsAbandoned;
  return isInterrupted && isOpen && aCall.mFailedServers.empty() &&
         aCall.mAdmitted.mRoute.mResume == stream_resume::OtherServer &&
         aCall.mRequest.mKind == call_kind::Completion;
}

token_count
UsedTokens(call_state const& aCall, upstream_end const& aEnd)
{
  if (aEnd.mVerdict == verdict::NotRun)
    return 0;
  if (aEnd.mUsage)
    return aEnd.mUsage->mPrompt + aEnd.mUsage->mCompletion;
  return aCall.mCharged;
}

request_outcome
OutcomeOf(call_state const& aCall, upstream_end const& aEnd)
{
  request_outcome outcome{ .mVerdict = aEnd.mVerdict,
                           .mStatus = aEnd.mStatus,
                           .mContentType = aEnd.mContentType };
  if (aCall.IsClaimed() && aEnd.mFailure == transfer_failure::None)
    outcome.mBody = aEnd.mBody;
  return outcome;
}

once_request
ClaimOf(call_state const& aCall, instant aNow)
{
  caller_request const& request = aCall.mRequest;
  once_request claim{ .mId = request.mId,
                      .mIdempotency = aCall.mAdmitted.mRoute.mIdempotency,
                      .mFingerprint = request.mFingerprint,
                      .mDeadline =
                        aNow + aCall.mAdmitted.mRoute.mQueueDeadline };
  if (request.mIdempotencyKey) {
    claim.mKey = request_key{ .mWorkspace = aCall.Workspace(),
                              .mKey = *request.mIdempotencyKey };
  }
  return claim;
}

}

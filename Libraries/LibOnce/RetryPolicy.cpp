#include <LibOnce/RetryPolicy.h>

namespace lycheeseam {

namespace {

constexpr std::uint32_t kMostUnsentAttempts = 3;
constexpr std::uint32_t kMostSentAttempts = 2;

}

retry_target
RetryTargetFor(attempt_history const& aHistory)
{
  if (aHistory.mUnsent >= kMostUnsentAttempts)
    return retry_target::Nowhere;
  if (aHistory.mSent == 0)
    return retry_target::Anywhere;
  if (aHistory.mIdempotency == idempotency::NonIdempotent)
    return retry_target::Nowhere;
  if (aHistory.mSent >= kMostSentAttempts)
    return retry_target::Nowhere;
  // A part of the answer has gone to the caller; only a resumed stream may
  // follow it, which is not a retry.
  if (aHistory.mFailure == attempt_failure::BrokenInAnswer)
    return retry_target::Nowhere;
  return retry_target::SameFailureDomain;
}

verdict
VerdictFor(attempt_history const& aHistory)
{
  return aHistory.mSent == 0 ? verdict::NotRun : verdict::MayHaveRun;
}

}

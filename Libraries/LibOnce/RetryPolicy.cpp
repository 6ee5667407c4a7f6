#include <LibOnce/RetryPolicy.h>

namespace lycheeseam {

namespace {

constexpr std::uint32_t kMaxUnsentAttempts = 3;
constexpr std::uint32_t kMaxSentAttempts = 2;

}

retry_target
RetryTargetFor(attempt_history const& aHistory)
{
  if (aHistory.mUnsent >= kMaxUnsentAttempts)
    return retry_target::Nowhere;
  if (aHistory.mSent == 0)
    return retry_target::Anywhere;
  if (aHistory.mIdempotency == idempotency::NonIdempotent)
    return retry_target::Nowhere;
  if (aHistory.mSent >= kMaxSentAttempts)
    return retry_target::Nowhere;
  // The caller has received a part of the answer. Only a resumed stream can
  // continue it, which is not a retry.
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

#include <LibAdmission/CircuitBreaker.h>

#include <algorithm>

namespace lycheeseam {

breaker_state
circuit_breaker::State(instant aNow) const
{
  if (!mIsOpen)
    return breaker_state::Closed;
  return aNow < mProbeAt ? breaker_state::Open : breaker_state::HalfOpen;
}

void
circuit_breaker::OnSuccess()
{
  mFailures = 0;
  mIsOpen = false;
  mOpenFor = duration{};
}

void
circuit_breaker::OnFailure(instant aNow)
{
  ++mFailures;
  // Requests that were in flight when the breaker opened may fail later; they
  // must not double the open time as a failed probe does.
  if (State(aNow) == breaker_state::Open)
    return;
  if (mIsOpen || mFailures >= mOptions.mFailureThreshold)
    Open(aNow);
}

void
circuit_breaker::OnUnreachable(instant aNow)
{
  mFailures = std::max(mFailures, mOptions.mFailureThreshold);
  if (State(aNow) != breaker_state::Open)
    Open(aNow);
}

void
circuit_breaker::Open(instant aNow)
{
  mOpenFor = mIsOpen ? std::min(mOpenFor * 2, mOptions.mMaxOpenTime)
                     : mOptions.mInitialOpenTime;
  mIsOpen = true;
  mProbeAt = aNow + mOpenFor;
}

}

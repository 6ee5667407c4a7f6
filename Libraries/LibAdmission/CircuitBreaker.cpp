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
  // Work that was out when the breaker opened fails late; it must not double
  // the wait as a failed probe does.
  if (State(aNow) == breaker_state::Open)
    return;
  if (mIsOpen || mFailures >= mOptions.mFailureThreshold)
    Open(aNow);
}

void
circuit_breaker::OnAbsence(instant aNow)
{
  mFailures = std::max(mFailures, mOptions.mFailureThreshold);
  if (State(aNow) != breaker_state::Open)
    Open(aNow);
}

void
circuit_breaker::Open(instant aNow)
{
  mOpenFor = mIsOpen ? std::min(mOpenFor * 2, mOptions.mLongestOpen)
                     : mOptions.mFirstOpen;
  mIsOpen = true;
  mProbeAt = aNow + mOpenFor;
}

}

#include <LibControl/RetryDecision.h>

namespace lycheeseam {

namespace {

constexpr attempt_number kMostAttempts{ 3 };
// A request that has cost two backend servers is not tried on a third.
constexpr attempt_number kMostAttemptsAfterLoss{ 2 };

// These statuses come from a server that is starting, loading or full, and
// that has done nothing.
bool
IsTurnedAway(upstream_end const& aEnd)
{
  return aEnd.mFailure == transfer_failure::None &&
         (aEnd.mStatus == 502 || aEnd.mStatus == 503);
}

}

retry_decision
DecideRetry(route_row const& aRoute,
            attempt_number aAttempt,
            upstream_end const& aEnd)
{
  if (aEnd.mForwardedBytes > 0 || aEnd.mFailure == transfer_failure::Cancelled)
    return retry_decision::GiveUp;
  if (aEnd.mFailure == transfer_failure::NotConnected)
    return aAttempt < kMostAttempts ? retry_decision::Retry
                                    : retry_decision::GiveUp;
  if (aRoute.mIdempotency == idempotency::NonIdempotent)
    return retry_decision::GiveUp;
  bool const failed =
    aEnd.mFailure != transfer_failure::None || IsTurnedAway(aEnd);
  if (failed && aAttempt < kMostAttemptsAfterLoss)
    return retry_decision::Retry;
  return retry_decision::GiveUp;
}

}

#include <LibControl/RetryDecision.h>

namespace lycheeseam {

namespace {

// The limit after an attempt that got no connection to its server; the first
// attempt counts.
constexpr attempt_number kMaxAttempts{ 3 };
// A request on which two backend servers failed may have caused it and is not
// sent to a third one.
constexpr attempt_number kMaxAttemptsAfterFailure{ 2 };

// A server that is starting, loading weights or full answers with one of these
// statuses and has not run the request.
bool
IsServerRefusal(upstream_end const& aEnd)
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
    return aAttempt < kMaxAttempts ? retry_decision::Retry
                                   : retry_decision::GiveUp;
  if (aRoute.mIdempotency == idempotency::NonIdempotent)
    return retry_decision::GiveUp;
  bool const failed =
    aEnd.mFailure != transfer_failure::None || IsServerRefusal(aEnd);
  if (failed && aAttempt < kMaxAttemptsAfterFailure)
    return retry_decision::Retry;
  return retry_decision::GiveUp;
}

}

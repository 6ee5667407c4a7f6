#pragma once

#include <LibConfig/RouteRow.h>
#include <LibRequest/AttemptNumber.h>
#include <LibUpstream/UpstreamEnd.h>

namespace lycheeseam {

/// Whether a failed attempt is followed by one at another backend server.
enum class retry_decision
{
  GiveUp,
  Retry,
};

/// Decides on an attempt's end. What has reached the caller can't be taken
/// back, and non-idempotent work is repeated only when it surely didn't run.
retry_decision
DecideRetry(route_row const& aRoute,
            attempt_number aAttempt,
            upstream_end const& aEnd);

}

#pragma once

#include <LibConfig/RouteRow.h>
#include <LibRequest/AttemptNumber.h>
#include <LibUpstream/UpstreamEnd.h>

namespace lycheeseam {

/// Whether a failed attempt is retried on another backend server.
enum class retry_decision
{
  GiveUp,
  Retry,
};

/// Decides whether to retry after an attempt's end. An attempt is not retried
/// once bytes of its answer were forwarded to the caller; a non-idempotent
/// request is retried only if the server was not connected, so that it
/// certainly did not run.
retry_decision
DecideRetry(route_row const& aRoute,
            attempt_number aAttempt,
            upstream_end const& aEnd);

}

#pragma once

#include <LibRequest/AdmittedRoute.h>
#include <LibRequest/AttemptNumber.h>
#include <LibRequest/CallerRequest.h>

namespace lycheeseam {

/// What control knows of one open call.
struct call_state
{
  caller_request mRequest;
  admitted_route mAdmitted;
  attempt_number mAttempt;
  /// The backend server of the running attempt.
  backend_server mServer;
};

}

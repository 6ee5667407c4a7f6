#pragma once

#include <LibAdmission/CircuitBreaker.h>
#include <LibAdmission/ServerWindow.h>
#include <LibAdmission/SlowStart.h>
#include <LibConfig/BackendServer.h>
#include <LibPlacement/ServerLoad.h>

namespace lycheeseam {

/// What this instance knows of one backend server.
struct server_runtime
{
  backend_server mRow;
  incarnation mIncarnation;
  server_load mLoad;
  /// Uncached prompt tokens sent since the load was measured.
  token_count mSentTokens = 0;
  server_window mWindow;
  circuit_breaker mBreaker{ circuit_breaker_options{} };
  slow_start mSlowStart{ slow_start_options{} };
};

}

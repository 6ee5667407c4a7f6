#pragma once

#include <LibAdmission/CircuitBreaker.h>
#include <LibAdmission/ServerWindow.h>
#include <LibAdmission/SlowStart.h>
#include <LibConfig/BackendServer.h>
#include <LibPlacement/ServerLoad.h>

namespace lycheeseam {

/// This instance's state of one backend server of a pool.
struct server_runtime
{
  backend_server mRow;
  /// The incarnation in the latest load report; 0 before the first report.
  incarnation mIncarnation;
  /// The latest load report.
  server_load mLoad;
  /// Uncached prompt tokens sent since the last load report.
  token_count mSentTokens = 0;
  server_window mWindow;
  circuit_breaker mBreaker{ circuit_breaker_options{} };
  slow_start mSlowStart{ slow_start_options{} };
};

}

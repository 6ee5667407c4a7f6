#pragma once

#include <LibAdmission/CircuitBreaker.h>
#include <LibAdmission/ServerWindow.h>
#include <LibAdmission/SlowStart.h>
#include <LibPlacement/LoadTracker.h>

namespace lycheeseam::bench {

/// One instance's state for one backend server.
struct server_view
{
  incarnation mIncarnation{ 1 };
  load_tracker mLoad;
  server_window mWindow{ 0 };
  circuit_breaker mBreaker;
  slow_start mSlowStart;
};

}

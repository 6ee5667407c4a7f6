#include "RunFleet.h"

#include "FleetInstance.h"
#include "StopSignals.h"
#include <LibEvents/EventLog.h>
#include <LibSettings/ParseFleetSettings.h>

#include <array>
#include <csignal>
#include <cstdlib>

namespace lycheeseam {

namespace {

// Returns on a stop signal. SIGHUP is logged only.
void
AwaitStop(sigset_t const& aSignals)
{
  for (;;) {
    int signal = 0;
    sigwait(&aSignals, &signal);
    LogEvent("signal", { { "number", std::int64_t{ signal } } });
    if (signal != SIGHUP)
      return;
  }
}

}

void
RunFleet(std::string const& aSettingsPath)
{
  fleet_settings const settings = LoadFleetSettings(aSettingsPath);
  OpenEventLog(settings.mInstance.Text());
  LogEvent("started", { { "settings", aSettingsPath } });
  sigset_t const signals = BlockSignals(std::array{ SIGTERM, SIGINT, SIGHUP });
  {
    fleet_instance instance{ settings };
    AwaitStop(signals);
    instance.Stop();
  }
  LogEvent("stopped", {});
  // The logging library joins its threads when its static objects are
  // destroyed, which may take longer than the stop time. No other cleanup is
  // needed.
  std::quick_exit(0);
}

}

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

// Returns when the process is told to stop.
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
  // The logging library joins its threads when its statics are destroyed,
  // which may outlast the time for a stop. Nothing else is left to do.
  std::quick_exit(0);
}

}

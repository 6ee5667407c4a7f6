#include "RunFleet.h"

#include "FleetInstance.h"
#include <LibEvents/EventLog.h>
#include <LibSettings/ParseFleetSettings.h>

#include <csignal>
#include <cstdlib>

namespace lycheeseam {

namespace {

// Signals are taken by waiting for them, so that no code runs in a handler.
sigset_t
BlockStopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // A caller that goes away must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

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
  sigset_t const signals = BlockStopSignals();
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

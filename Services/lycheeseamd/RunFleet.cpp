#include "RunFleet.h"

#include "AwaitAddresses.h"
#include "FleetInstance.h"
#include <LibEvents/EventLog.h>
#include <LibSettings/ParseFleetSettings.h>

#include <cstdlib>
#include <vector>

namespace lycheeseam {

namespace {

std::vector<endpoint>
ListenAddresses(fleet_settings const& aSettings)
{
  std::vector<endpoint> addresses{ aSettings.mCallers,
                                   aSettings.mReadiness,
                                   aSettings.mAddresses,
                                   aSettings.mPeers };
  if (aSettings.mTunnels.mPort != 0)
    addresses.push_back(aSettings.mTunnels);
  if (aSettings.mMetrics)
    addresses.push_back(*aSettings.mMetrics);
  return addresses;
}

}

void
RunFleet(std::string const& aSettingsPath, stop_signals const& aSignals)
{
  fleet_settings const settings = LoadFleetSettings(aSettingsPath);
  OpenEventLog(settings.mInstance.Text());
  LogEvent("started", { { "settings", aSettingsPath } });
  if (AwaitAddresses(aSignals, ListenAddresses(settings))) {
    fleet_instance instance{ settings };
    aSignals.Await();
    instance.Stop();
  }
  LogEvent("stopped", {});
  // The logging library joins its threads when its static objects are
  // destroyed, which may take longer than the stop time. No other cleanup is
  // needed.
  std::quick_exit(0);
}

}

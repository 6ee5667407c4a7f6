#include "AwaitAddresses.h"
#include "ExitCode.h"
#include "RunFleet.h"
#include "StandardDescriptors.h"
#include "StopSignals.h"
#include <LibRouter/Router.h>
#include <LibSettings/ParseFleetSettings.h>
#include <LibSettings/ParseSettings.h>
#include <LibSettings/SettingsError.h>

#include <gflags/gflags.h>

#include <array>
#include <cstdlib>
#include <iostream>
#include <string>

DEFINE_string(config,
              "",
              "The settings file, in JSON; by default the one that the "
              "variable LYCHEESEAM_SETTINGS names.");
DEFINE_bool(fleet, false, "Keep all state in the platform's store.");
DEFINE_bool(check_config, false, "Check the settings file and exit.");

namespace lycheeseam {

namespace {

exit_code
Run(daemon_settings aSettings, stop_signals const& aSignals)
{
  listen_settings const& listen = aSettings.mListen;
  if (!AwaitAddresses(
        aSignals, std::array{ listen.mCallers, listen.mAdmin, listen.mPeers }))
    return exit_code::Success;
  router instance{ std::move(aSettings) };
  aSignals.Await();
  instance.Drain();
  return exit_code::Success;
}

exit_code
StartFleet(std::string const& aPath, stop_signals const& aSignals)
{
  if (FLAGS_check_config)
    LoadFleetSettings(aPath);
  else
    RunFleet(aPath, aSignals);
  return exit_code::Success;
}

// The flag takes precedence over the environment; empty when neither is set.
std::string
SettingsPath()
{
  char const* const variable = std::getenv("LYCHEESEAM_SETTINGS");
  if (!FLAGS_config.empty() || variable == nullptr)
    return FLAGS_config;
  return variable;
}

exit_code
Start(stop_signals const& aSignals)
{
  std::string const path = SettingsPath();
  if (path.empty()) {
    std::cerr << "lycheeseamd: neither the flag --config FILE nor the variable "
                 "LYCHEESEAM_SETTINGS names a settings file\n";
    return exit_code::Usage;
  }
  try {
    if (FLAGS_fleet)
      return StartFleet(path, aSignals);
    daemon_settings settings = LoadSettings(path);
    if (FLAGS_check_config)
      return exit_code::Success;
    return Run(std::move(settings), aSignals);
  } catch (settings_error const& fault) {
    std::cerr << "lycheeseamd: " << fault.what() << "\n";
    return exit_code::Settings;
  } catch (std::exception const& fault) {
    std::cerr << "lycheeseamd: " << fault.what() << "\n";
    return exit_code::Failure;
  }
}

}

}

int
main(int aCount, char** aArguments)
{
  // Before anything else: a signal would end the process until then.
  lycheeseam::stop_signals const signals;
  lycheeseam::FillStandardDescriptors();
  gflags::SetUsageMessage(
    "lycheeseamd [--config FILE] [--fleet] [--check_config]");
  gflags::SetVersionString(LYCHEESEAM_VERSION);
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  return static_cast<int>(lycheeseam::Start(signals));
}

#include "ExitCode.h"
#include "RunFleet.h"
#include "StopSignals.h"
#include <LibRouter/Router.h>
#include <LibSettings/ParseFleetSettings.h>
#include <LibSettings/ParseSettings.h>
#include <LibSettings/SettingsError.h>

#include <gflags/gflags.h>

#include <array>
#include <csignal>
#include <iostream>

DEFINE_string(config, "", "The settings file, in JSON.");
DEFINE_bool(fleet, false, "Keep all state in the platform's store.");
DEFINE_bool(check_config, false, "Check the settings file and exit.");

namespace lycheeseam {

namespace {

exit_code
Run(daemon_settings aSettings)
{
  sigset_t const signals = BlockSignals(std::array{ SIGTERM, SIGINT });
  router instance{ std::move(aSettings) };
  int signal = 0;
  sigwait(&signals, &signal);
  instance.Drain();
  return exit_code::Success;
}

exit_code
StartFleet()
{
  if (FLAGS_check_config)
    LoadFleetSettings(FLAGS_config);
  else
    RunFleet(FLAGS_config);
  return exit_code::Success;
}

exit_code
Start()
{
  if (FLAGS_config.empty()) {
    std::cerr << "lycheeseamd: the flag --config FILE is missing\n";
    return exit_code::Usage;
  }
  try {
    if (FLAGS_fleet)
      return StartFleet();
    daemon_settings settings = LoadSettings(FLAGS_config);
    if (FLAGS_check_config)
      return exit_code::Success;
    return Run(std::move(settings));
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
  gflags::SetUsageMessage(
    "lycheeseamd --config FILE [--fleet] [--check_config]");
  gflags::SetVersionString(LYCHEESEAM_VERSION);
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  return static_cast<int>(lycheeseam::Start());
}

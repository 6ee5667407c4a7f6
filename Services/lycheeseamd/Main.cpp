#include "ExitCode.h"
#include "RunFleet.h"
#include <LibRouter/Router.h>
#include <LibSettings/ParseFleetSettings.h>
#include <LibSettings/ParseSettings.h>
#include <LibSettings/SettingsError.h>

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

DEFINE_string(config, "", "The settings file, in JSON.");
DEFINE_bool(fleet, false, "Keep all state in the platform's store.");
DEFINE_bool(check_config, false, "Check the settings file and exit.");

namespace lycheeseam {

namespace {

// SIGTERM and SIGINT are taken by waiting for them, so that no code runs in
// a signal handler. Threads started later inherit the mask.
sigset_t
BlockStopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // A caller that goes away must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

exit_code
Run(daemon_settings aSettings)
{
  sigset_t const signals = BlockStopSignals();
  router running{ std::move(aSettings) };
  int signal = 0;
  sigwait(&signals, &signal);
  running.Drain();
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
    std::cerr << "lycheeseamd: --config FILE is needed\n";
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

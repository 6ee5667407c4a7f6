#include "LuaRunner.h"
#include "ScenarioFailure.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>

DEFINE_string(build_directory,
              "Build/Default",
              "build directory that contains the programs to test");
DEFINE_string(support,
              "Tests/Scenarios/Support",
              "folder of the Lua files that run before each scenario");

namespace lycheeseam {
namespace {

/// Runs the support files and then one scenario; returns whether it passed.
bool
RunScenario(std::filesystem::path const& aFile)
{
  scenario running{ FLAGS_build_directory };
  lua_runner runner{ running };
  try {
    std::vector<std::filesystem::path> support;
    for (auto const& entry :
         std::filesystem::directory_iterator{ FLAGS_support })
      support.push_back(entry.path());
    std::sort(support.begin(), support.end());
    for (std::filesystem::path const& file : support)
      runner.Run(file);
    runner.Run(aFile);
    std::cout << "passed: " << aFile.stem().string() << "\n";
    return true;
  } catch (scenario_failure const& failure) {
    std::cout << "FAILED: " << aFile.stem().string() << "\n"
              << failure.what() << "\n"
              << running.OutputTails();
    return false;
  }
}

}
}

int
main(int aArgumentCount, char** aArguments)
{
  gflags::SetUsageMessage("Runs scenarios: scenario-runner FILE.lua ...");
  gflags::ParseCommandLineFlags(&aArgumentCount, &aArguments, true);
  bool passed = aArgumentCount > 1;
  for (int index = 1; index < aArgumentCount; ++index)
    passed = lycheeseam::RunScenario(aArguments[index]) && passed;
  return passed ? EXIT_SUCCESS : EXIT_FAILURE;
}

#pragma once

#include "Scenario.h"

#include <filesystem>
#include <memory>

struct lua_State;

namespace lycheeseam {

/// Runs Lua files with the verbs of the scenario language defined.
class lua_runner
{
public:
  explicit lua_runner(scenario& aScenario);

  /// Runs a file; throws scenario_failure with Lua's message and stack trace.
  void Run(std::filesystem::path const& aFile);

private:
  struct state_close
  {
    void operator()(lua_State* aLua) const;
  };

  std::unique_ptr<lua_State, state_close> mLua;
};

}

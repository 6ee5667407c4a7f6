#pragma once

#include "Scenario.h"

#include <nlohmann/json.hpp>

#include <span>

namespace lycheeseam {

/// A verb of the scenario language: takes its arguments as an array, gives
/// what the scenario sees, and throws to fail it.
struct scenario_verb
{
  char const* mName;
  nlohmann::json (*mRun)(scenario& aScenario, nlohmann::json const& aArguments);
};

/// Verbs that start, stop and disturb processes.
std::span<scenario_verb const>
ProcessVerbs();

/// Verbs that relay, cut and heal connections.
std::span<scenario_verb const>
NetworkVerbs();

/// Verbs that send requests and read answers.
std::span<scenario_verb const>
HttpVerbs();

}

#pragma once

#include "Scenario.h"

#include <nlohmann/json.hpp>

#include <span>

namespace lycheeseam {

/// A verb of the scenario language. It takes its arguments as a JSON array and
/// returns its result; any exception fails the scenario.
struct scenario_verb
{
  char const* mName;
  nlohmann::json (*mRun)(scenario& aScenario, nlohmann::json const& aArguments);
};

/// Verbs that start, stop and signal processes.
std::span<scenario_verb const>
ProcessVerbs();

/// Verbs that relay, cut and heal connections.
std::span<scenario_verb const>
NetworkVerbs();

/// Verbs that send requests and read their answers.
std::span<scenario_verb const>
HttpVerbs();

}

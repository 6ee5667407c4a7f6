#include "ScenarioFailure.h"
#include "Verbs.h"

#include <array>
#include <chrono>
#include <csignal>
#include <thread>

namespace lycheeseam {

namespace {

using nlohmann::json;

std::string
Name(json const& aArguments)
{
  return aArguments.at(0).get<std::string>();
}

/// start_process(name, program, arguments)
json
Start(scenario& aScenario, json const& aArguments)
{
  std::vector<std::string> arguments;
  for (json const& argument : aArguments.at(2))
    arguments.push_back(argument.get<std::string>());
  aScenario.Start(
    Name(aArguments), aArguments.at(1).get<std::string>(), arguments);
  return nullptr;
}

json
WaitForEnd(scenario& aScenario, std::string_view aName, json const& aBound)
{
  std::chrono::milliseconds const bound{ aBound.get<std::int64_t>() };
  std::optional<exit_report> const report =
    aScenario.Process(aName).Wait(bound);
  if (!report)
    throw scenario_failure(std::string{ aName } +
                           " didn't end within its bound");
  aScenario.Discard(aName);
  return { { "code", report->mCode }, { "signal", report->mSignal } };
}

/// stop(name, bound_ms): sends SIGTERM and waits; returns exit code and signal.
json
Stop(scenario& aScenario, json const& aArguments)
{
  aScenario.Process(Name(aArguments)).Signal(SIGTERM);
  return WaitForEnd(aScenario, Name(aArguments), aArguments.at(1));
}

/// ask_to_stop(name), freeze(name), thaw(name): send a signal without waiting.
template<int Signal>
json
SendSignal(scenario& aScenario, json const& aArguments)
{
  aScenario.Process(Name(aArguments)).Signal(Signal);
  return nullptr;
}

/// wait_for_end(name, bound_ms): waits without sending a signal; returns exit
/// code and signal.
json
AwaitEnd(scenario& aScenario, json const& aArguments)
{
  return WaitForEnd(aScenario, Name(aArguments), aArguments.at(1));
}

/// kill(name): sends SIGKILL and waits.
json
Kill(scenario& aScenario, json const& aArguments)
{
  constexpr int kBoundMilliseconds = 5000;
  aScenario.Process(Name(aArguments)).Signal(SIGKILL);
  return WaitForEnd(aScenario, Name(aArguments), kBoundMilliseconds);
}

/// settings(name, table): writes a settings file; returns its path.
json
Settings(scenario& aScenario, json const& aArguments)
{
  constexpr int kIndent = 2;
  return aScenario
    .WriteFile(Name(aArguments) + ".json", aArguments.at(1).dump(kIndent))
    .string();
}

/// rest(ms): sleeps, such as between two checks of a condition.
json
Rest(scenario&, json const& aArguments)
{
  std::this_thread::sleep_for(
    std::chrono::milliseconds{ aArguments.at(0).get<std::int64_t>() });
  return nullptr;
}

/// now_ms(): the time of a monotonic clock in ms.
json
NowMilliseconds(scenario&, json const&)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

constexpr std::array kVerbs{
  scenario_verb{ "start_process", &Start },
  scenario_verb{ "stop", &Stop },
  scenario_verb{ "ask_to_stop", &SendSignal<SIGTERM> },
  scenario_verb{ "wait_for_end", &AwaitEnd },
  scenario_verb{ "kill", &Kill },
  scenario_verb{ "freeze", &SendSignal<SIGSTOP> },
  scenario_verb{ "thaw", &SendSignal<SIGCONT> },
  scenario_verb{ "settings", &Settings },
  scenario_verb{ "rest", &Rest },
  scenario_verb{ "now_ms", &NowMilliseconds },
};

}

std::span<scenario_verb const>
ProcessVerbs()
{
  return kVerbs;
}

}

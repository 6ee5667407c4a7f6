#pragma once

#include "ChildProcess.h"
#include "HttpCall.h"
#include "RelayThread.h"

#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace lycheeseam {

/// What a running scenario owns: a temporary folder, processes, relays and
/// calls. All of it ends with this.
class scenario
{
public:
  explicit scenario(std::filesystem::path aBuildDirectory);
  ~scenario();
  scenario(scenario const&) = delete;
  scenario& operator=(scenario const&) = delete;

  /// Starts a program of the build under a name that is free.
  void Start(std::string_view aName,
             std::string_view aProgram,
             std::span<std::string const> aArguments);

  /// The process of a name; throws scenario_failure.
  child_process& Process(std::string_view aName);

  /// Forgets a process that has ended.
  void Forget(std::string_view aName);

  /// Writes a file into the temporary folder; returns its path.
  std::filesystem::path WriteFile(std::string_view aName,
                                  std::string_view aText) const;

  /// Begins a request; a connection's name makes calls share it. Returns the
  /// call's number.
  std::uint64_t Begin(http_call_options aOptions, std::string_view aConnection);

  /// The call of a number; throws scenario_failure.
  http_call& Call(std::uint64_t aNumber);

  /// Waits for a call's end and forgets it.
  http_result Finish(std::uint64_t aNumber);

  relay_thread& Relays() { return mRelays; }

  /// The last lines of each process's output, for a failure's report.
  [[nodiscard]] std::string OutputTails() const;

private:
  [[nodiscard]] std::filesystem::path FindProgram(
    std::string_view aProgram) const;

  std::filesystem::path mBuildDirectory;
  std::filesystem::path mFolder;
  std::map<std::string, std::unique_ptr<child_process>, std::less<>> mProcesses;
  std::map<std::string, std::shared_ptr<curl_session>, std::less<>> mSessions;
  std::map<std::uint64_t, std::unique_ptr<http_call>> mCalls;
  std::uint64_t mLastCall = 0;
  relay_thread mRelays;
};

}

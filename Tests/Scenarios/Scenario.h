#pragma once

#include "ChildProcess.h"
#include "HttpCall.h"
#include "RelayThread.h"

#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace lycheeseam {

/// The resources of a running scenario: a temporary folder, processes, relays
/// and calls. The destructor releases all of them.
class scenario
{
public:
  explicit scenario(std::filesystem::path aBuildDirectory);
  ~scenario();
  scenario(scenario const&) = delete;
  scenario& operator=(scenario const&) = delete;

  /// Starts a program of the build; throws scenario_failure if the name
  /// is in use.
  void Start(std::string_view aName,
             std::string_view aProgram,
             std::span<std::string const> aArguments);

  /// The process of this name; throws scenario_failure if there is none.
  child_process& Process(std::string_view aName);

  /// Discards a process that has ended.
  void Discard(std::string_view aName);

  /// Writes a file to the temporary folder; returns its path.
  std::filesystem::path WriteFile(std::string_view aName,
                                  std::string_view aText) const;

  /// Sends a request and returns the number of its call. Calls with the same
  /// connection name share a connection.
  std::uint64_t Begin(http_call_options aOptions, std::string_view aConnection);

  /// The call of this number; throws scenario_failure if there is none.
  http_call& Call(std::uint64_t aNumber);

  /// Waits until a call has ended, discards it and returns its result.
  http_result Finish(std::uint64_t aNumber);

  relay_thread& Relays() { return mRelays; }

  /// Takes a port for a process of the scenario; false if it was taken before.
  bool TakePort(std::uint16_t aPort) { return mPorts.insert(aPort).second; }

  /// The end of each process's output, for a failure report.
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
  std::set<std::uint16_t> mPorts;
  relay_thread mRelays;
};

}

#pragma once

#include "ExitReport.h"

#include <sys/types.h>

#include <chrono>
#include <filesystem>
#include <optional>
#include <span>
#include <string>

namespace lycheeseam {

/// One process under test. The destructor kills it; if the runner ends first,
/// the kernel does.
class child_process
{
public:
  /// Starts a program and redirects its output to a file.
  child_process(std::filesystem::path const& aProgram,
                std::span<std::string const> aArguments,
                std::filesystem::path aOutput);
  ~child_process();
  child_process(child_process const&) = delete;
  child_process& operator=(child_process const&) = delete;

  /// Sends a signal to this process alone.
  void Signal(int aSignal) const;

  /// Waits until the process ends; returns nothing if it runs longer than the
  /// bound.
  std::optional<exit_report> Wait(std::chrono::milliseconds aBound);

  /// The file that receives the output.
  [[nodiscard]] std::filesystem::path const& Output() const { return mOutput; }

private:
  std::filesystem::path mOutput;
  pid_t mPid = -1;
  int mPidDescriptor = -1;
  std::optional<exit_report> mExit;
};

}

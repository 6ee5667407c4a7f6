#pragma once

#include "DaemonOptions.h"

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>

namespace lycheeseam {

/// A lycheeseamd under test. The destructor kills it; if the test ends first,
/// the kernel does.
class daemon_process
{
public:
  explicit daemon_process(daemon_options const& aOptions);
  ~daemon_process();
  daemon_process(daemon_process const&) = delete;
  daemon_process& operator=(daemon_process const&) = delete;

  void Signal(int aSignal) const;

  /// How the process ended, as waitpid tells it; nothing when it runs on.
  std::optional<int> Wait(std::chrono::milliseconds aTime);

  /// The path that one of its descriptors refers to.
  [[nodiscard]] std::string DescriptorPath(int aDescriptor) const;

private:
  pid_t mPid = -1;
  std::optional<int> mStatus;
};

}

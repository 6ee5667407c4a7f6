#pragma once

#include <LibDispatch/WorkspaceUsage.h>

#include <chrono>
#include <vector>

namespace lycheeseam {

/// What all instances admitted in a quota window, as it lies in the store for
/// the case that all of them start anew.
struct quota_usage
{
  /// The time of day at the window's end, by the clock of who wrote it.
  std::chrono::milliseconds mWrittenAt{};
  std::vector<workspace_usage> mUsed;
};

}

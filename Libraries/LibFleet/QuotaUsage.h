#pragma once

#include <LibDispatch/WorkspaceUsage.h>

#include <chrono>
#include <vector>

namespace lycheeseam {

/// What all instances admitted in a quota window. The store holds it for the
/// case that all of them restart at once.
struct quota_usage
{
  /// The time of day at the window's end, by the clock of the instance that
  /// wrote it.
  std::chrono::milliseconds mWrittenAt{};
  std::vector<workspace_usage> mUsed;
};

}

#pragma once

#include <LibDispatch/WorkspaceUsage.h>
#include <LibStore/StoreEra.h>

#include <chrono>
#include <optional>
#include <vector>

namespace lycheeseam {

/// What all instances admitted in a quota window. The store holds it for the
/// case that all of them restart at once.
struct quota_usage
{
  /// The time of day when it was written. Only builds that take the age of a
  /// record from it read it.
  std::chrono::milliseconds mWrittenAt{};
  /// The era of the store in which it was written; empty when it is withdrawn,
  /// or an older build wrote it.
  std::optional<store_era> mEra;
  std::vector<workspace_usage> mUsed;
};

}

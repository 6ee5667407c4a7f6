#pragma once

#include <LibCore/Identifiers.h>
#include <LibDispatch/CrashCount.h>
#include <LibDispatch/ObservedWeights.h>
#include <LibDispatch/PrefixHolder.h>
#include <LibDispatch/WorkspaceUsage.h>
#include <LibPeer/ReportScope.h>

#include <cstdint>
#include <vector>

namespace lycheeseam {

/// What an instance tells of itself and of those that it speaks for, a few
/// times a second, and at once when it gives orders or saw newer weights.
struct fleet_report
{
  report_scope mScope = report_scope::Root;
  /// The offset of the newest lease on orders among them; 0 without one.
  std::uint64_t mLease = 0;
  /// The first of them by name that reads the store for all; empty for none.
  instance_id mReader;
  /// What they admitted since the sender's start, so far as it heard.
  std::vector<workspace_usage> mSpent;
  /// Servers lost by requests since the last report.
  std::vector<crash_count> mCrashes;
  /// Weights seen since the last report.
  std::vector<observed_weights> mWeights;
  /// Servers that take no new work since that lease's holder turns them.
  std::vector<backend_server_id> mUpdating;
  /// Prompt parts that servers read since the last report.
  std::vector<prefix_holder> mHolders;
  /// What all instances admitted in the quota window that ends now; empty
  /// until the sender has counted for a whole window, and for a receiver that
  /// can know it.
  std::vector<workspace_usage> mUsed;
  /// The offset behind the last of the operators' records that the sender has.
  std::uint64_t mOperatorsEnd = 0;

  bool operator==(fleet_report const&) const = default;
};

}

#pragma once

#include <LibCore/Identifiers.h>
#include <LibDispatch/CrashCount.h>
#include <LibDispatch/PrefixHolder.h>
#include <LibDispatch/SeenWeights.h>
#include <LibDispatch/SpentUnits.h>

#include <cstdint>
#include <vector>

namespace lycheeseam {

/// What an instance tells its peers a few times a second, and at once when it
/// gives orders or saw newer weights.
struct fleet_report
{
  bool mIsLeaving = false;
  /// It has a configuration and takes callers.
  bool mIsReady = false;
  /// The offset of the lease under which it gives orders; 0 without one.
  std::uint64_t mLease = 0;
  /// It reads the store for its peers.
  bool mReadsStore = false;
  /// What it admitted since its start.
  std::vector<spent_units> mSpent;
  /// Servers lost by requests since its last report.
  std::vector<crash_count> mCrashes;
  /// Weights seen since its last report.
  std::vector<seen_weights> mWeights;
  /// Servers that take no new work since they are to load weights.
  std::vector<backend_server_id> mTurning;
  /// Prompt parts that servers read since its last report.
  std::vector<prefix_holder> mHolders;
  /// What all instances admitted in the quota window that ends now; empty
  /// until it has counted for a whole window.
  std::vector<spent_units> mUsed;

  bool operator==(fleet_report const&) const = default;
};

}

#pragma once

#include <LibDispatch/CrashCount.h>
#include <LibDispatch/ObservedLoad.h>
#include <LibDispatch/PartCrashes.h>
#include <LibDispatch/PrefixHolder.h>
#include <LibDispatch/StreamOrigin.h>

#include <vector>

namespace lycheeseam {

/// What another instance observed that matters to requests of this one.
struct peer_update
{
  std::vector<crash_count> mCrashes;
  /// New evidence on parts of prompts that crash servers.
  std::vector<part_crashes> mPartCrashes;
  std::vector<prefix_holder> mHolders;
  std::vector<stream_origin> mOrigins;
  /// Newer loads of servers.
  std::vector<observed_load> mLoads;

  [[nodiscard]] bool IsEmpty() const
  {
    return mCrashes.empty() && mPartCrashes.empty() && mHolders.empty() &&
           mOrigins.empty() && mLoads.empty();
  }
};

}

#pragma once

#include <LibDispatch/CrashCount.h>
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
};

}

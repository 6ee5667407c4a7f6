#pragma once

#include <LibDispatch/CrashCount.h>
#include <LibDispatch/PrefixHolder.h>

#include <vector>

namespace lycheeseam {

/// What another instance saw that requests of this one depend on.
struct peer_update
{
  std::vector<crash_count> mCrashes;
  std::vector<prefix_holder> mHolders;
};

}

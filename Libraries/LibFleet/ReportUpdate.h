#pragma once

#include <LibCore/Identifiers.h>
#include <LibPeer/FleetReport.h>

namespace lycheeseam {

/// What an instance saw, to be told once to all others.
struct report_news
{
  /// The peer that told it; empty for what this instance saw itself.
  instance_id mFrom;
  /// It came from a child, or is this instance's own.
  bool mIsOfBranch = true;
  std::vector<crash_count> mCrashes;
  std::vector<observed_weights> mWeights;
  std::vector<prefix_holder> mHolders;

  [[nodiscard]] bool IsEmpty() const
  {
    return mCrashes.empty() && mWeights.empty() && mHolders.empty();
  }
};

}

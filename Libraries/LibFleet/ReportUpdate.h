#pragma once

#include <LibCore/Identifiers.h>
#include <LibDispatch/ObservedLimit.h>
#include <LibDispatch/ObservedLoad.h>
#include <LibPeer/FleetReport.h>

namespace lycheeseam {

/// Crashes, weights, rate limits, prefix holders, origins of streams and
/// samples of rollouts that an instance observed, to be reported once to all
/// others, and loads, to be reported to those of its failure domain.
struct report_update
{
  /// The peer that reported it; empty for this instance's own observations.
  instance_id mFrom;
  /// True when it came from a child, or is this instance's own.
  bool mIsOfBranch = true;
  std::vector<crash_count> mCrashes;
  std::vector<part_crashes> mPartCrashes;
  std::vector<observed_weights> mWeights;
  std::vector<observed_limit> mLimits;
  std::vector<prefix_holder> mHolders;
  std::vector<stream_origin> mOrigins;
  std::vector<observed_load> mLoads;
  std::vector<rollout_sample> mRolloutSamples;

  [[nodiscard]] bool IsEmpty() const
  {
    return mCrashes.empty() && mPartCrashes.empty() && mWeights.empty() &&
           mLimits.empty() && mHolders.empty() && mOrigins.empty() &&
           mLoads.empty() && mRolloutSamples.empty();
  }
};

}

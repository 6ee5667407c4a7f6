#pragma once

#include <LibCore/ServerIdentity.h>
#include <LibDispatch/CrashCount.h>
#include <LibDispatch/ObservedLimit.h>
#include <LibDispatch/ObservedLoad.h>
#include <LibDispatch/ObservedWeights.h>
#include <LibDispatch/PartCrashes.h>
#include <LibDispatch/PrefixHolder.h>
#include <LibDispatch/StreamOrigin.h>
#include <LibDispatch/WorkspaceUsage.h>
#include <LibMetrics/MetricsDelta.h>
#include <LibPeer/RolloutDrain.h>
#include <LibRollout/RolloutSample.h>

#include <vector>

namespace lycheeseam {

/// What the traffic thread reports to the control thread a few times a second.
struct traffic_report
{
  /// What this instance has admitted since its start.
  std::vector<workspace_usage> mUsage;
  /// What all instances admitted in the quota window that ends now; empty until
  /// this instance has counted for a full window.
  std::vector<workspace_usage> mWindowUsage;
  /// Servers that failed while they ran a request, since the last report.
  std::vector<crash_count> mCrashes;
  /// New evidence on parts of prompts that crash servers.
  std::vector<part_crashes> mPartCrashes;
  /// Versions of weights that answers showed and that are newer than those in
  /// the servers' entries.
  std::vector<observed_weights> mWeights;
  /// Rate limits that answers showed since the last report.
  std::vector<observed_limit> mLimits;
  /// Loads with a slowdown that servers reported to this instance since the
  /// last report.
  std::vector<observed_load> mLoads;
  /// Servers at whose address another server answered.
  std::vector<server_identity> mReplaced;
  /// Shared prompt prefixes that servers read since the last report.
  std::vector<prefix_holder> mHolders;
  /// Streams of this instance that callers may resume, which haven't been
  /// reported before; empty while all servers of each pool run one software.
  std::vector<stream_origin> mOrigins;
  /// What it observed of rollouts since the last report.
  std::vector<rollout_sample> mRolloutSamples;
  /// The orders that this instance has drained.
  std::vector<rollout_drain> mDrained;
  /// What the traffic thread counted and timed since the last report.
  metrics_delta mMetrics;
};

}

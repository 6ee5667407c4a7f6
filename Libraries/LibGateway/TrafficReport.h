#pragma once

#include <LibCore/ServerIdentity.h>
#include <LibDispatch/CrashCount.h>
#include <LibDispatch/ObservedWeights.h>
#include <LibDispatch/PrefixHolder.h>
#include <LibDispatch/WorkspaceUsage.h>
#include <LibMetrics/MetricsDelta.h>

#include <vector>

namespace lycheeseam {

/// What the traffic thread tells control a few times a second.
struct traffic_report
{
  /// What this instance admitted since its start.
  std::vector<workspace_usage> mSpent;
  /// What all instances admitted in the quota window that ends now; empty
  /// until this one has counted for a whole window.
  std::vector<workspace_usage> mUsed;
  /// Servers lost by requests since the last report.
  std::vector<crash_count> mCrashes;
  /// Versions newer than the servers' entries say, from their answers.
  std::vector<observed_weights> mWeights;
  /// Servers whose address another one has.
  std::vector<server_identity> mGone;
  /// Prompt parts that servers read since the last report.
  std::vector<prefix_holder> mHolders;
  /// What the traffic thread counted and timed since the last report.
  metrics_delta mMetrics;
};

}

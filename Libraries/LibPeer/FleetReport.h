#pragma once

#include <LibCore/Identifiers.h>
#include <LibDispatch/CrashCount.h>
#include <LibDispatch/ObservedWeights.h>
#include <LibDispatch/PartCrashes.h>
#include <LibDispatch/PrefixHolder.h>
#include <LibDispatch/StreamOrigin.h>
#include <LibDispatch/WorkspaceUsage.h>
#include <LibPeer/LimitNotice.h>
#include <LibPeer/LoadNotice.h>
#include <LibPeer/ReportScope.h>
#include <LibPeer/RolloutDrain.h>
#include <LibPeer/RolloutNotice.h>
#include <LibPeer/SoftwareNotice.h>
#include <LibRollout/RolloutSample.h>
#include <LibStore/StorePosition.h>

#include <cstdint>
#include <vector>

namespace lycheeseam {

/// What an instance reports on behalf of the instances in mScope: sent a few
/// times a second, and at once when it gives orders or observed newer weights.
struct fleet_report
{
  report_scope mScope = report_scope::Root;
  /// The number of the newest order lease that one of them holds; 0 if none.
  std::uint64_t mLease = 0;
  /// The first of them by name that reads the store for all; empty if none.
  instance_id mReader;
  /// What they admitted since the sender's start, as far as it received
  /// reports.
  std::vector<workspace_usage> mSpent;
  /// Requests whose servers crashed since the last report.
  std::vector<crash_count> mCrashes;
  /// New evidence on parts of prompts that crash servers; on a new link, also
  /// that on all parts in quarantine.
  std::vector<part_crashes> mPartCrashes;
  /// Weights observed since the last report.
  std::vector<observed_weights> mWeights;
  /// Rate limits observed since the last report; on a new link, all known ones.
  std::vector<limit_notice> mLimits;
  /// Servers that take no new requests because the holder of mLease updates
  /// their weights.
  std::vector<backend_server_id> mUpdating;
  /// Servers that read shared prompt parts since the last report.
  std::vector<prefix_holder> mHolders;
  /// What all instances admitted in the quota window that ends now. Sent on new
  /// links only, once the sender has counted for a full window, and empty
  /// otherwise: other receivers can count it themselves.
  std::vector<workspace_usage> mUsed;
  /// The position after the last of the operators' records that the sender has.
  store_position mOperatorsEnd;
  /// True when the sender itself reports to a parent.
  bool mHasParent = false;
  /// Streams that callers may resume, begun since the last report; in the first
  /// report over a link, all known ones. Empty while the servers of each pool
  /// run one software.
  std::vector<stream_origin> mOrigins;
  /// Software that was in use lately, on new links only.
  std::vector<software_notice> mSoftware;
  /// True when no other software was; on new links only.
  bool mIsSoftwareComplete = false;
  /// New loads of servers, between instances of one failure domain only.
  std::vector<load_notice> mLoads;
  /// True when the sender passes on relays of a root of another failure domain
  /// to the roots of its own; older builds don't.
  bool mSpreadsRelays = false;
  /// The position after the last record of servers that the sender has; the
  /// first one from older builds.
  store_position mServersEnd;
  /// The newest known states of rollouts.
  std::vector<rollout_notice> mRollouts;
  /// What they observed of rollouts since the last report.
  std::vector<rollout_sample> mRolloutSamples;
  /// The orders that all of them have drained.
  std::vector<rollout_drain> mDrained;

  bool operator==(fleet_report const&) const = default;
};

}

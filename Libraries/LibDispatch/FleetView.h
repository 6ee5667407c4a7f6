#pragma once

#include <LibCore/Instant.h>
#include <LibDispatch/DispatchConfig.h>
#include <LibDispatch/ObservedLimit.h>
#include <LibDispatch/PoolSoftware.h>
#include <LibDispatch/ReadyInstance.h>
#include <LibDispatch/RegisteredServer.h>
#include <LibDispatch/TargetWeights.h>
#include <LibDispatch/WorkspaceUsage.h>
#include <LibRollout/RolloutState.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace lycheeseam {

/// An instance's view of the fleet. The control thread publishes immutable
/// copies; the traffic thread reads the newest one for every decision.
struct fleet_view
{
  /// Null until the first configuration is read.
  std::shared_ptr<dispatch_config const> mConfig;
  std::vector<registered_server> mServers;
  /// Servers that a rolling update loads weights on; they get no new requests.
  std::set<backend_server_id> mUpdating;
  /// Rate limits of servers, as any instance last observed them.
  std::vector<observed_limit> mLimits;
  /// The target weights of each model.
  std::vector<target_weights> mWeights;
  /// The software that each pool's servers run, or ran so recently that callers
  /// may resume a stream that it began.
  std::vector<pool_software> mSoftware;
  /// True while no other software can have begun a stream.
  bool mIsSoftwareComplete = false;
  /// The newest known states of rollouts, of running and ended orders.
  std::vector<rollout_state> mRollouts;
  /// The instances that are ready for callers.
  std::vector<ready_instance> mReadyInstances;
  /// The other instances in a planned stop, which still open tunnels.
  std::vector<ready_instance> mStoppingInstances;
  /// Instances that share limits, this one included; at least 1.
  std::uint32_t mInstances = 1;
  /// The unresponsive ones of these: other instances without a recent report.
  std::uint32_t mUnresponsiveInstances = 0;
  /// How old the reports on the other instances may be.
  duration mReportDelay{};
  /// Usage of the other instances since they started, summed by workspace.
  std::vector<workspace_usage> mPeerUsage;
  /// Usage of all instances in the current quota window, as the other instances
  /// that have counted for a full window last reported it; empty without any.
  std::vector<workspace_usage> mWindowUsage;
  /// The same as the store held it when this instance started, for a start
  /// without such instances.
  std::vector<workspace_usage> mStoredUsage;

  /// The software that began all streams of a pool; empty when that is several,
  /// or unknown.
  [[nodiscard]] std::optional<software_version> OnlySoftware(
    pool_name const& aPool) const
  {
    if (!mIsSoftwareComplete)
      return std::nullopt;
    std::optional<software_version> only;
    for (pool_software const& used : mSoftware) {
      if (used.mPool != aPool)
        continue;
      if (only)
        return std::nullopt;
      only = used.mSoftware;
    }
    return only;
  }

  /// True when the streams of any pool may be of several versions of software.
  [[nodiscard]] bool HasMixedSoftware() const
  {
    std::set<pool_name> pools;
    return std::any_of(
      mSoftware.begin(), mSoftware.end(), [&pools](pool_software const& aUsed) {
        return !pools.insert(aUsed.mPool).second;
      });
  }

  /// The target weights of a model, or null.
  [[nodiscard]] target_weights const* FindWeights(
    model_name const& aModel) const
  {
    for (target_weights const& target : mWeights) {
      if (target.mModel == aModel)
        return &target;
    }
    return nullptr;
  }
};

}

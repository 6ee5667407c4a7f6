#pragma once

#include <LibCore/Instant.h>
#include <LibDispatch/CallerEntry.h>
#include <LibDispatch/DispatchConfig.h>
#include <LibDispatch/RegisteredServer.h>
#include <LibDispatch/TargetWeights.h>
#include <LibDispatch/WorkspaceUsage.h>

#include <cstdint>
#include <memory>
#include <set>
#include <vector>

namespace lycheeseam {

/// What an instance knows of the fleet: published by the control thread,
/// read by the traffic thread for every decision.
struct fleet_view
{
  /// Null until the first configuration is read.
  std::shared_ptr<dispatch_config const> mConfig;
  std::vector<registered_server> mServers;
  /// Servers that are about to load weights and take no new work.
  std::set<backend_server_id> mUpdating;
  std::vector<target_weights> mWeights;
  std::vector<caller_entry> mEntries;
  /// Instances that share limits, this one included; at least 1.
  std::uint32_t mInstances = 1;
  /// Of these, the others that haven't reported lately.
  std::uint32_t mUnresponsiveInstances = 0;
  /// How old what is told of the other instances may be.
  duration mReportDelay{};
  /// What the other instances admitted since they started, added up.
  std::vector<workspace_usage> mSpentElsewhere;
  /// What all instances admitted in the quota window that ended with the last
  /// report of one that has counted for so long.
  std::vector<workspace_usage> mUsedElsewhere;

  /// The weights that were named for a model, or null.
  [[nodiscard]] target_weights const* FindWeights(
    model_name const& aModel) const
  {
    for (target_weights const& named : mWeights) {
      if (named.mModel == aModel)
        return &named;
    }
    return nullptr;
  }
};

}

#pragma once

#include <LibCore/Instant.h>

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace lycheeseam::bench {

/// The size, the delays and the load of a deployment.
struct deployment
{
  std::string mName;
  std::size_t mWorkers = 0;
  std::size_t mFailureDomains = 0;
  std::size_t mInstances = 0;
  /// Delay in one direction between failure domains.
  duration mHop{};
  /// Delay in one direction between callers and instances.
  duration mCallerHop{};
  /// Requests per second over all workspaces.
  double mArrivalRate = 0;
  /// Each workspace's fraction of the requests.
  std::vector<double> mShares;
};

/// The deployments that are measured.
std::span<deployment const>
Deployments();

}

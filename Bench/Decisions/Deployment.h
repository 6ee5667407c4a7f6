#pragma once

#include <LibCore/Instant.h>

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace lycheeseam::bench {

/// One of the brief's deployments at its size.
struct deployment
{
  std::string mName;
  std::size_t mWorkers = 0;
  std::size_t mFailureDomains = 0;
  std::size_t mInstances = 0;
  /// One way between failure domains.
  duration mHop{};
  /// One way between callers and instances.
  duration mCallerHop{};
  /// Requests a second over all workspaces.
  double mArrivalRate = 0;
  /// Each workspace's part of the requests.
  std::vector<double> mShares;
};

/// Both deployments.
std::span<deployment const>
Deployments();

}

#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>
#include <LibDispatch/QuotaParameters.h>
#include <LibRollout/RolloutLimits.h>

#include <chrono>
#include <cstdint>
#include <optional>

namespace lycheeseam {

/// Options of the traffic thread, fixed at its start.
struct gateway_options
{
  instance_id mInstance;
  failure_domain mDomain;
  /// Listen address for callers' requests.
  endpoint mCallers;
  /// Listen address for readiness checks.
  endpoint mReadiness;
  /// Listen address for callers' address queries.
  endpoint mAddresses;
  /// Listen address for tunnels of peers to backend servers; port 0 to open
  /// none.
  endpoint mTunnels;
  quota_parameters mQuota;
  /// Retries that a pool may have for each first attempt, over all instances.
  double mRetryRatio = 0.2;
  /// Additional retries of each pool in each mRetryWindow, over all instances.
  double mRetrySlack = 50;
  std::chrono::milliseconds mRetryWindow{ 10'000 };
  /// How long older weights may still be used after operators named newer ones.
  std::chrono::milliseconds mOutdatedAfter{ 7'000 };
  /// Without them no rollouts are run, and all software may get requests.
  std::optional<rollout_limits> mRollouts;
  /// How long callers may cache the answer to an address query.
  std::chrono::seconds mAddressLifetime{ 2 };
};

}

#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>

#include <chrono>
#include <optional>

namespace lycheeseam {

/// The settings of lycheeseamd when a platform's store keeps its state, read
/// once at its start. docs/SETTINGS.md lists each setting.
struct fleet_settings
{
  instance_id mInstance;
  failure_domain mDomain;
  /// The listen address for callers' requests.
  endpoint mCallers;
  /// The listen address for readiness queries.
  endpoint mReadiness;
  /// The listen address for address queries.
  endpoint mAddresses;
  /// The listen address for peers.
  endpoint mPeers;
  /// The listen address for peers that are cut off from the backend servers;
  /// port 0 to open no tunnels for them.
  endpoint mTunnels;
  /// The listen address for metrics; metrics aren't served without it.
  std::optional<endpoint> mMetrics;
  /// The address of the platform's store.
  endpoint mStore;
  /// The processor cores that this instance has; 0 when unknown.
  double mCores = 0;
  /// How long callers may cache the answer to an address query.
  std::chrono::seconds mAddressLifetime{ 2 };
  /// The units per window that a workspace may use beyond its rate and burst.
  double mQuotaSlack = 0;
  /// The part of its rate and burst that a workspace may use in addition.
  double mQuotaOvershoot = 0;
  std::chrono::milliseconds mQuotaWindow{ 8'000 };
  /// The most retries of a pool for each first attempt, over all instances.
  double mRetryRatio = 0.2;
  /// The retries of a pool allowed per window beyond that share, over all
  /// instances.
  double mRetrySlack = 50;
  std::chrono::milliseconds mRetryWindow{ 10'000 };
  /// How long after a new target version requests may still start on older
  /// weights.
  std::chrono::milliseconds mWeightsTime{ 8'000 };
  /// The most time that a planned stop may take.
  std::chrono::milliseconds mStopTime{ 8'000 };
  /// How long the order lease lasts after its holder's last heartbeat.
  std::chrono::milliseconds mLease{ 3'000 };
  /// The most requests that software on trial may get, as a part of all that
  /// reach its pool; 0 where no rollouts are ordered.
  double mExposureShare = 0;
  /// The requests that it may get beyond that share, over all instances.
  double mExposureSlack = 0;
  /// How long bad software may get requests after its failures have shown it.
  std::chrono::milliseconds mRollbackTime{ 5'000 };

  bool operator==(fleet_settings const&) const = default;
};

}

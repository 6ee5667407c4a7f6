#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>

#include <chrono>
#include <cstdint>
#include <optional>

namespace lycheeseam {

/// What lycheeseamd is told at its start when its state lies in a platform's
/// store. docs/SETTINGS.md lists each setting.
struct fleet_settings
{
  instance_id mInstance;
  failure_domain mDomain;
  endpoint mCallers;
  endpoint mReadiness;
  endpoint mAddresses;
  endpoint mPeers;
  /// Where metrics are served; nowhere by default.
  std::optional<endpoint> mMetrics;
  endpoint mStore;
  /// The processor cores that this instance has; 0 when it isn't told.
  double mCores = 0;
  /// How long callers keep the answer to their question for addresses.
  std::chrono::seconds mAddressLifetime{ 2 };
  /// Units that a workspace may be admitted in a window beyond its rate and
  /// burst.
  std::uint64_t mQuotaSlack = 0;
  std::chrono::milliseconds mQuotaWindow{ 8'000 };
  /// Repeats for each hundred first attempts, over all instances.
  std::uint64_t mRetryPercent = 20;
  /// Repeats allowed besides, within a window, over all instances.
  std::uint64_t mRetrySlack = 50;
  std::chrono::milliseconds mRetryWindow{ 10'000 };
  /// How long after newer weights were named no request may begin on older
  /// ones.
  std::chrono::milliseconds mWeightsTime{ 8'000 };
  /// How long a planned stop may take.
  std::chrono::milliseconds mStopTime{ 8'000 };
  /// For how long the holder of orders counts after its last sign of life.
  std::chrono::milliseconds mLease{ 3'000 };

  bool operator==(fleet_settings const&) const = default;
};

}

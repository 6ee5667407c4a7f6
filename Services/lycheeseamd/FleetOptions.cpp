#include "FleetOptions.h"

#include <LibCore/TimeOfDay.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <random>

namespace lycheeseam {

namespace {

// The start time in Unix milliseconds. Peers of older builds refuse a restart
// with a lower number, so that it isn't random.
incarnation
ThisIncarnation()
{
  return incarnation{ static_cast<std::uint64_t>(TimeOfDay().count()) };
}

// Empty where no rollouts are ordered.
std::optional<rollout_limits>
MakeRolloutLimits(fleet_settings const& aSettings)
{
  if (aSettings.mExposureShare <= 0)
    return std::nullopt;
  return rollout_limits{ .mShare = aSettings.mExposureShare,
                         .mSlack = aSettings.mExposureSlack,
                         .mRollbackTime = aSettings.mRollbackTime };
}

}

gateway_options
MakeGatewayOptions(fleet_settings const& aSettings)
{
  // The quota uses half of the slack and of the overshoot. The other half
  // covers differences between the instances' counts and the servers'.
  constexpr double kSlackShare = 0.5;
  // Few streams break at a time, so their resumptions may use most of it.
  constexpr double kResumptionSlackShare = 0.9;
  // A request may wait in an engine's queue before it runs, and updates of
  // weights reach this instance with a delay.
  constexpr std::chrono::milliseconds kWeightsMargin{ 1'500 };
  return { .mInstance = aSettings.mInstance,
           .mDomain = aSettings.mDomain,
           .mCallers = aSettings.mCallers,
           .mReadiness = aSettings.mReadiness,
           .mAddresses = aSettings.mAddresses,
           .mTunnels = aSettings.mTunnels,
           .mQuota = { .mWindow = aSettings.mQuotaWindow,
                       .mOvershoot = kSlackShare * aSettings.mQuotaOvershoot,
                       .mSlackUnits = kSlackShare * aSettings.mQuotaSlack,
                       .mResumptionOvershoot =
                         kResumptionSlackShare * aSettings.mQuotaOvershoot,
                       .mResumptionSlackUnits =
                         kResumptionSlackShare * aSettings.mQuotaSlack,
                       .mSeed = std::random_device{}() },
           .mRetryRatio = aSettings.mRetryRatio,
           .mRetrySlack = aSettings.mRetrySlack,
           .mRetryWindow = aSettings.mRetryWindow,
           .mOutdatedAfter = std::max(std::chrono::milliseconds{},
                                      aSettings.mWeightsTime - kWeightsMargin),
           .mRollouts = MakeRolloutLimits(aSettings),
           .mAddressLifetime = aSettings.mAddressLifetime };
}

fleet_options
MakeFleetOptions(fleet_settings const& aSettings)
{
  constexpr double kThousandthsPerCore = 1'000;
  return { .mSelf = { .mIdentity = { .mInstance = aSettings.mInstance,
                                     .mIncarnation = ThisIncarnation() },
                      .mFailureDomain = aSettings.mDomain,
                      .mCallers = aSettings.mCallers,
                      .mPeers = aSettings.mPeers,
                      .mTunnels = aSettings.mTunnels,
                      .mCapacity = static_cast<std::uint32_t>(
                        aSettings.mCores * kThousandthsPerCore) },
           .mStore = aSettings.mStore,
           .mMetrics = aSettings.mMetrics,
           .mQuotaWindow = aSettings.mQuotaWindow,
           .mLease = aSettings.mLease,
           .mRollouts = MakeRolloutLimits(aSettings) };
}

}

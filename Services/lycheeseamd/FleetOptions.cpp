#include "FleetOptions.h"

#include <LibCore/TimeOfDay.h>

#include <chrono>
#include <random>

namespace lycheeseam {

namespace {

// The start time in Unix milliseconds: a restart gets a greater number, even on
// another machine under the same instance id.
incarnation
ThisIncarnation()
{
  return incarnation{ static_cast<std::uint64_t>(TimeOfDay().count()) };
}

}

gateway_options
MakeGatewayOptions(fleet_settings const& aSettings)
{
  constexpr double kPercent = 100.0;
  // The quota uses half of the slack. The other half covers differences between
  // the instances' counts and the servers'.
  constexpr double kSlackShare = 0.5;
  // A window's usage may exceed rate and burst by this share of them.
  constexpr double kOvershootShare = 0.05;
  // A request may wait in an engine's queue before it runs, and updates of
  // weights reach this instance with a delay.
  constexpr std::chrono::milliseconds kWeightsMargin{ 1'500 };
  return {
    .mInstance = aSettings.mInstance,
    .mDomain = aSettings.mDomain,
    .mCallers = aSettings.mCallers,
    .mReadiness = aSettings.mReadiness,
    .mAddresses = aSettings.mAddresses,
    .mQuota = { .mWindow = aSettings.mQuotaWindow,
                .mOvershoot = kOvershootShare,
                .mSlackUnits =
                  kSlackShare * static_cast<double>(aSettings.mQuotaSlack),
                .mSeed = std::random_device{}() },
    .mRetryRatio = static_cast<double>(aSettings.mRetryPercent) / kPercent,
    .mRetrySlack = static_cast<double>(aSettings.mRetrySlack),
    .mRetryWindow =
      std::chrono::duration_cast<std::chrono::seconds>(aSettings.mRetryWindow),
    .mOutdatedAfter = aSettings.mWeightsTime - kWeightsMargin,
    .mAddressLifetime = aSettings.mAddressLifetime
  };
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
                      .mCapacity = static_cast<std::uint32_t>(
                        aSettings.mCores * kThousandthsPerCore) },
           .mStore = aSettings.mStore,
           .mMetrics = aSettings.mMetrics,
           .mLease = aSettings.mLease };
}

}

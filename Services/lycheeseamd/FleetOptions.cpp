#include "FleetOptions.h"

#include <LibCore/TimeOfDay.h>

#include <chrono>
#include <random>

namespace lycheeseam {

namespace {

// A restart has a later start, also on another machine of the same name.
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
  // Half of the slack covers what instances count differently from servers.
  constexpr double kSlackPart = 0.5;
  // Of what a window may hold beyond rate and burst.
  constexpr double kOvershoot = 0.05;
  // A request may wait in an engine's queue before it begins, and the news of
  // weights takes a while to get here.
  constexpr std::chrono::milliseconds kWeightsMargin{ 1'500 };
  return {
    .mInstance = aSettings.mInstance,
    .mDomain = aSettings.mDomain,
    .mCallers = aSettings.mCallers,
    .mReadiness = aSettings.mReadiness,
    .mAddresses = aSettings.mAddresses,
    .mQuota = { .mWindow = aSettings.mQuotaWindow,
                .mOvershoot = kOvershoot,
                .mSlackUnits =
                  kSlackPart * static_cast<double>(aSettings.mQuotaSlack),
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
  constexpr double kThousandths = 1'000;
  return { .mSelf = { .mIdentity = { .mInstance = aSettings.mInstance,
                                     .mIncarnation = ThisIncarnation() },
                      .mFailureDomain = aSettings.mDomain,
                      .mCallers = aSettings.mCallers,
                      .mPeers = aSettings.mPeers,
                      .mCapacity = static_cast<std::uint32_t>(aSettings.mCores *
                                                              kThousandths) },
           .mStore = aSettings.mStore,
           .mMetrics = aSettings.mMetrics,
           .mLease = aSettings.mLease };
}

}

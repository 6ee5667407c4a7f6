#include <LibDispatch/DomainOverflow.h>

#include <algorithm>
#include <cmath>

namespace lycheeseam {

namespace {

double
Use(domain_load const& aLoad)
{
  return aLoad.mCapacity > 0 ? aLoad.mUsed / aLoad.mCapacity : 0;
}

// What the other domains take without having to send requests on themselves,
// for each of the domains that have a surplus.
double
FreeElsewhere(failure_domain const& aHome,
              std::span<domain_load const> aLoads,
              double aFullUse)
{
  double free = 0;
  double senders = 1;
  for (domain_load const& load : aLoads) {
    if (load.mDomain == aHome)
      continue;
    free += std::max(0.0, aFullUse * load.mCapacity - load.mUsed);
    if (Use(load) > aFullUse)
      senders += 1;
  }
  return free / senders;
}

}

void
domain_overflow::Update(instant aNow,
                        failure_domain const& aHome,
                        std::span<domain_load const> aLoads)
{
  auto const home = std::find_if(
    aLoads.begin(), aLoads.end(), [&aHome](domain_load const& aLoad) {
      return aLoad.mDomain == aHome;
    });
  if (home == aLoads.end() || home->mCapacity <= 0) {
    *this = domain_overflow{ mRules };
    return;
  }
  UpdateLeaving(aNow, Use(*home));
  // With a share s, a domain with U requests has sent s / (1 - s) * U away.
  // These use capacity elsewhere that was free before, so they may stay. They
  // count in part, because reports don't show the latest of them yet.
  double const sent = home->mUsed * mShare / std::max(1e-9, 1 - mShare);
  double const room =
    FreeElsewhere(aHome, aLoads, mRules.mBegin) + mRules.mSentPart * sent;
  double const highest = room / std::max(1e-9, room + home->mUsed);
  double const target = std::min(ShareFor(Use(*home)), highest);
  double const elapsed =
    mUpdatedAt ? std::chrono::duration<double>{ aNow - *mUpdatedAt }.count()
               : 0;
  mUpdatedAt = aNow;
  double const weight =
    1 -
    std::exp(-elapsed / std::chrono::duration<double>{ mRules.mRise }.count());
  mShare += weight * (target - mShare);
  // What is free elsewhere is a limit at once, however the share got there.
  mShare = mIsLeaving ? std::min(mShare, highest) : 0;
}

void
domain_overflow::UpdateLeaving(instant aNow, double aUse)
{
  if (aUse >= mRules.mBegin)
    mIsLeaving = true;
  if (aUse >= mRules.mEnd) {
    mLowSince.reset();
    return;
  }
  mLowSince = mLowSince.value_or(aNow);
  if (aNow - *mLowSince >= mRules.mEndAfter)
    mIsLeaving = false;
}

double
domain_overflow::ShareFor(double aUse) const
{
  if (!mIsLeaving)
    return 0;
  double const inBand =
    std::clamp(aUse, mRules.mEnd, mRules.mBegin) - mRules.mEnd;
  double const surplus = std::max(0.0, aUse - mRules.mBegin);
  return std::clamp(
    mRules.mBandGain * inBand + mRules.mSurplusGain * surplus, 0.0, 1.0);
}

}

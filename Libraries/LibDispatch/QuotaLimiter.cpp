#include <LibDispatch/QuotaLimiter.h>

#include <algorithm>
#include <chrono>

namespace lycheeseam {

namespace {

// A request counts as small when its units are at most this part of the limit:
// of a limit of a million tokens, chats and lookups are small and prompts with
// a long shared prefix aren't.
constexpr double kSmallPart = 0.002;

// The most of the limit that is kept for small requests, and only while less
// than kNearLimit of it is left.
constexpr double kSmallRequestShare = 0.25;
constexpr double kNearLimit = 0.5;

// Views arrive several times a second. One that is older shows that this
// process was paused or its control thread is stuck: the other instances then
// count its whole share as used, and no more than that.
constexpr duration kMaxViewAge = std::chrono::seconds{ 1 };

// A paced workspace may use the part 1 / kPaceSeconds of its headroom in a
// second, in addition to what leaves its window. With half of the window of 8 s
// a burst of some seconds doesn't fill it.
constexpr double kPaceSeconds = 4;

// Callers that are refused by the pace don't all come back at once.
constexpr duration kMinPaceWait = std::chrono::milliseconds{ 100 };

bool
IsSmall(double aUnits, double aLimit)
{
  return aUnits <= kSmallPart * aLimit;
}

}

quota_limiter::account&
quota_limiter::Find(workspace_id const& aWorkspace)
{
  return mAccounts
    .try_emplace(
      aWorkspace,
      account{ .mWindow = quota_window{ mParameters.mWindow },
               .mSmallAdmitted = quota_window{ mParameters.mWindow } })
    .first->second;
}

quota_limiter::account&
quota_limiter::FindInitialized(instant aNow,
                               dispatch_workspace const& aWorkspace)
{
  account& found = Find(aWorkspace.mName);
  if (!mStartedAt)
    mStartedAt = aNow;
  if (!found.mIsInitialized && aNow - *mStartedAt < mParameters.mWindow) {
    found.mWindow.AddEvenly(aNow, Limit(aWorkspace));
    found.mIsAssumed = true;
  }
  found.mIsInitialized = true;
  return found;
}

bool
quota_limiter::IsInFirstWindow(instant aNow) const
{
  return mStartedAt && aNow - *mStartedAt < mParameters.mWindow;
}

double
quota_limiter::UnitsPerWindow(dispatch_workspace const& aWorkspace) const
{
  return aWorkspace.mRate *
           std::chrono::duration<double>(mParameters.mWindow).count() +
         aWorkspace.mBurst;
}

double
quota_limiter::Limit(dispatch_workspace const& aWorkspace) const
{
  return (UnitsPerWindow(aWorkspace) * (1 + mParameters.mOvershoot) +
          mParameters.mSlackUnits) *
         mAvailableShare;
}

// The share of unresponsive instances isn't set aside: the streams that callers
// resume are those that these instances have admitted, and counted.
double
quota_limiter::ResumptionLimit(dispatch_workspace const& aWorkspace) const
{
  return UnitsPerWindow(aWorkspace) * (1 + mParameters.mResumptionOvershoot) +
         mParameters.mResumptionSlackUnits;
}

double
quota_limiter::Used(instant aNow, workspace_id const& aWorkspace)
{
  return Find(aWorkspace).mWindow.Sum(aNow);
}

// Small requests keep what they are likely to ask for until the window that
// they began to fill ends, and never less than the demand of a second.
double
quota_limiter::ReserveForSmall(instant aNow, account& aAccount) const
{
  double const perSecond = aAccount.mSmallDemand.Sum(aNow);
  double const perWindow =
    perSecond * std::chrono::duration<double>(mParameters.mWindow).count();
  double const expected = perWindow - aAccount.mSmallAdmitted.Sum(aNow);
  return std::max(perSecond, expected) * mInstances;
}

double
quota_limiter::UsableHeadroom(instant aNow,
                              account& aAccount,
                              double aLimit,
                              double aUnits) const
{
  double const headroom = aLimit - aAccount.mWindow.Sum(aNow);
  if (IsSmall(aUnits, aLimit) || headroom > kNearLimit * aLimit)
    return headroom;
  return headroom -
         std::min(kSmallRequestShare * aLimit, ReserveForSmall(aNow, aAccount));
}

double
quota_limiter::CompetingDemand(instant aNow,
                               account& aAccount,
                               double aLimit,
                               double aUnits) const
{
  if (IsSmall(aUnits, aLimit))
    return aAccount.mSmallDemand.Sum(aNow) * mInstances;
  return aAccount.mRecentDemand.Sum(aNow);
}

bool
quota_limiter::IsAdmitted(instant aNow,
                          account& aAccount,
                          dispatch_workspace const& aWorkspace,
                          double aUnits,
                          charge_kind aKind,
                          quota_pacing aPacing)
{
  if (aWorkspace.mRate <= 0)
    return true;
  double const limit = Limit(aWorkspace);
  // The caller of a resumption loses what it already has of the answer.
  if (aKind == charge_kind::Resumption)
    return aAccount.mWindow.Sum(aNow) + aUnits <=
           std::max(limit, ResumptionLimit(aWorkspace));
  double const headroom = UsableHeadroom(aNow, aAccount, limit, aUnits);
  double const demand = CompetingDemand(aNow, aAccount, limit, aUnits);
  if (aUnits > headroom || !IsSampled(demand, headroom))
    return false;
  return aPacing == quota_pacing::Unpaced ||
         std::uniform_real_distribution<double>{}(mRandom) <
           PacedPart(aNow, aAccount, demand, headroom);
}

double
quota_limiter::PacedPart(instant aNow,
                         account& aAccount,
                         double aDemand,
                         double aHeadroom)
{
  double const seconds = std::chrono::duration<double>(kDemandTime).count();
  double const allowed = aAccount.mWindow.Leaving(aNow, kDemandTime) +
                         std::max(0.0, aHeadroom) * seconds / kPaceSeconds;
  return aDemand <= allowed ? 1 : allowed / aDemand;
}

void
quota_limiter::KeepToOwnShareIfStale(instant aNow)
{
  if (aNow - mAppliedAt > kMaxViewAge)
    mAvailableShare = std::min(mAvailableShare, 1.0 / mInstances);
}

bool
quota_limiter::TryCharge(instant aNow,
                         dispatch_workspace const& aWorkspace,
                         double aUnits,
                         charge_kind aKind,
                         quota_pacing aPacing)
{
  KeepToOwnShareIfStale(aNow);
  account& found = FindInitialized(aNow, aWorkspace);
  double const limit = Limit(aWorkspace);
  bool const isSmall = IsSmall(aUnits, limit);
  found.mDemand += aUnits;
  found.mRecentDemand.Add(aNow, aUnits);
  if (isSmall)
    found.mSmallDemand.Add(aNow, aUnits);
  if (!IsAdmitted(aNow, found, aWorkspace, aUnits, aKind, aPacing))
    return false;
  found.mWindow.Add(aNow, aUnits);
  if (isSmall)
    found.mSmallAdmitted.Add(aNow, aUnits);
  found.mUsage += aUnits;
  return true;
}

bool
quota_limiter::IsSampled(double aRecentDemand, double aHeadroom)
{
  double const delayRatio =
    std::chrono::duration<double>(mReportDelay) / kDemandTime;
  // Units requested from all instances since their latest reports.
  double const unreported = aRecentDemand * delayRatio;
  return unreported <= aHeadroom || std::uniform_real_distribution<double>{}(
                                      mRandom)*unreported < aHeadroom;
}

void
quota_limiter::Refund(instant aNow,
                      workspace_id const& aWorkspace,
                      double aUnits)
{
  account& found = Find(aWorkspace);
  found.mWindow.Add(aNow, -aUnits);
  found.mUsage -= aUnits;
}

duration
quota_limiter::WaitFor(instant aNow,
                       dispatch_workspace const& aWorkspace,
                       double aUnits,
                       quota_pacing aPacing)
{
  account& found = Find(aWorkspace.mName);
  double const limit = Limit(aWorkspace);
  duration const wait =
    found.mWindow.WaitFor(found.mWindow.Sum(aNow) + aUnits - limit);
  if (aPacing == quota_pacing::Unpaced)
    return wait;
  double const headroom = UsableHeadroom(aNow, found, limit, aUnits);
  double const demand = CompetingDemand(aNow, found, limit, aUnits);
  std::chrono::duration<double> const pace =
    kDemandTime * (1 - PacedPart(aNow, found, demand, headroom));
  return std::max(wait,
                  kMinPaceWait + std::chrono::duration_cast<duration>(pace));
}

std::vector<workspace_usage>
quota_limiter::WindowUsage(instant aNow)
{
  std::vector<workspace_usage> usage;
  if (!mStartedAt || aNow - *mStartedAt < mParameters.mWindow)
    return usage;
  for (accounts::value_type& entry : mAccounts)
    usage.push_back(
      { .mWorkspace = entry.first, .mUnits = entry.second.mWindow.Sum(aNow) });
  return usage;
}

std::vector<workspace_usage>
quota_limiter::Usage() const
{
  std::vector<workspace_usage> usage;
  for (auto const& [name, found] : mAccounts)
    usage.push_back(
      { .mWorkspace = name, .mUnits = found.mUsage, .mDemand = found.mDemand });
  return usage;
}

}

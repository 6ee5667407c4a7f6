#include <LibDispatch/QuotaLimiter.h>

#include <algorithm>
#include <chrono>

namespace lycheeseam {

quota_limiter::account&
quota_limiter::Find(workspace_id const& aWorkspace)
{
  return mAccounts
    .try_emplace(aWorkspace,
                 account{ .mWindow = quota_window{ mTerms.mWindow } })
    .first->second;
}

quota_limiter::account&
quota_limiter::FindFilled(instant aNow, dispatch_workspace const& aWorkspace)
{
  account& found = Find(aWorkspace.mName);
  if (!mStartedAt)
    mStartedAt = aNow;
  if (!found.mIsFilled && aNow - *mStartedAt < mTerms.mWindow) {
    found.mWindow.Spread(aNow, Limit(aWorkspace));
    found.mIsAssumed = true;
  }
  found.mIsFilled = true;
  return found;
}

void
quota_limiter::TakeUsed(instant aNow, std::vector<workspace_usage> const& aUsed)
{
  if (aUsed.empty() || !mStartedAt || aNow - *mStartedAt >= mTerms.mWindow)
    return;
  for (workspace_usage const& used : aUsed) {
    account& found = Find(used.mWorkspace);
    if (found.mIsFilled && !found.mIsAssumed)
      continue;
    found.mWindow = quota_window{ mTerms.mWindow };
    found.mWindow.Spread(aNow, used.mUnits);
    found.mIsFilled = true;
    found.mIsAssumed = false;
  }
}

void
quota_limiter::Apply(instant aNow, fleet_view const& aView)
{
  if (!mStartedAt && aView.mConfig)
    mStartedAt = aNow;
  TakeUsed(aNow, aView.mUsedElsewhere);
  mReportDelay = aView.mReportDelay;
  mOpenShare =
    static_cast<double>(aView.mInstances - aView.mUnresponsiveInstances) /
    aView.mInstances;
  for (workspace_usage const& spent : aView.mSpentElsewhere) {
    account& found = Find(spent.mWorkspace);
    // The sum falls when an instance leaves it; that gives nothing back.
    found.mWindow.Add(aNow, std::max(0.0, spent.mUnits - found.mSeenElsewhere));
    found.mSeenElsewhere = spent.mUnits;
    found.mLatelyAsked.Add(
      aNow, std::max(0.0, spent.mDemand - found.mAskedElsewhere));
    found.mAskedElsewhere = spent.mDemand;
  }
}

double
quota_limiter::Limit(dispatch_workspace const& aWorkspace) const
{
  double const seconds = std::chrono::duration<double>(mTerms.mWindow).count();
  double const within = aWorkspace.mRate * seconds + aWorkspace.mBurst;
  return (within * (1 + mTerms.mOvershoot) + mTerms.mSlackUnits) * mOpenShare;
}

double
quota_limiter::Used(instant aNow, workspace_id const& aWorkspace)
{
  return Find(aWorkspace).mWindow.Sum(aNow);
}

bool
quota_limiter::TryCharge(instant aNow,
                         dispatch_workspace const& aWorkspace,
                         double aUnits)
{
  account& found = FindFilled(aNow, aWorkspace);
  found.mAsked += aUnits;
  found.mLatelyAsked.Add(aNow, aUnits);
  bool const isLimited = aWorkspace.mRate > 0;
  double const room = Limit(aWorkspace) - found.mWindow.Sum(aNow);
  if (isLimited && (aUnits > room || !IsDrawn(aNow, found, room)))
    return false;
  found.mWindow.Add(aNow, aUnits);
  found.mSpent += aUnits;
  return true;
}

bool
quota_limiter::IsDrawn(instant aNow, account& aAccount, double aRoom)
{
  double const reports =
    std::chrono::duration<double>(mReportDelay) / kPaceTime;
  double const unseen = aAccount.mLatelyAsked.Sum(aNow) * reports;
  return unseen <= aRoom ||
         std::uniform_real_distribution<double>{}(mRandom)*unseen < aRoom;
}

void
quota_limiter::Refund(instant aNow,
                      workspace_id const& aWorkspace,
                      double aUnits)
{
  account& found = Find(aWorkspace);
  found.mWindow.Add(aNow, -aUnits);
  found.mSpent -= aUnits;
}

duration
quota_limiter::WaitFor(instant aNow,
                       dispatch_workspace const& aWorkspace,
                       double aUnits)
{
  account& found = Find(aWorkspace.mName);
  return found.mWindow.WaitFor(found.mWindow.Sum(aNow) + aUnits -
                               Limit(aWorkspace));
}

std::vector<workspace_usage>
quota_limiter::UsedByAll(instant aNow)
{
  std::vector<workspace_usage> used;
  if (!mStartedAt || aNow - *mStartedAt < mTerms.mWindow)
    return used;
  for (accounts::value_type& entry : mAccounts)
    used.push_back(
      { .mWorkspace = entry.first, .mUnits = entry.second.mWindow.Sum(aNow) });
  return used;
}

std::vector<workspace_usage>
quota_limiter::Spent() const
{
  std::vector<workspace_usage> spent;
  for (auto const& [name, found] : mAccounts)
    spent.push_back(
      { .mWorkspace = name, .mUnits = found.mSpent, .mDemand = found.mAsked });
  return spent;
}

}

#include <LibDispatch/QuotaLedger.h>

#include <algorithm>
#include <chrono>

namespace lycheeseam {

quota_ledger::account&
quota_ledger::Find(workspace_id const& aWorkspace)
{
  return mAccounts
    .try_emplace(aWorkspace,
                 account{ .mWindow = quota_window{ mTerms.mWindow } })
    .first->second;
}

quota_ledger::account&
quota_ledger::FindFilled(instant aNow, dispatch_workspace const& aWorkspace)
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
quota_ledger::TakeUsed(instant aNow, std::vector<spent_units> const& aUsed)
{
  if (aUsed.empty() || !mStartedAt || aNow - *mStartedAt >= mTerms.mWindow)
    return;
  for (spent_units const& used : aUsed) {
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
quota_ledger::Apply(instant aNow, fleet_view const& aView)
{
  if (!mStartedAt && aView.mConfig)
    mStartedAt = aNow;
  TakeUsed(aNow, aView.mUsedElsewhere);
  mReportDelay = aView.mReportDelay;
  mOpenShare = static_cast<double>(aView.mInstances - aView.mSilentInstances) /
               aView.mInstances;
  for (spent_units const& spent : aView.mSpentElsewhere) {
    account& found = Find(spent.mWorkspace);
    // The sum falls when an instance leaves it; that gives nothing back.
    found.mWindow.Add(aNow, std::max(0.0, spent.mUnits - found.mSeenElsewhere));
    found.mSeenElsewhere = spent.mUnits;
    found.mLatelyAsked.Add(aNow,
                           std::max(0.0, spent.mAsked - found.mAskedElsewhere));
    found.mAskedElsewhere = spent.mAsked;
  }
}

double
quota_ledger::Limit(dispatch_workspace const& aWorkspace) const
{
  double const seconds = std::chrono::duration<double>(mTerms.mWindow).count();
  double const within = aWorkspace.mRate * seconds + aWorkspace.mBurst;
  return (within * (1 + mTerms.mOvershoot) + mTerms.mSlackUnits) * mOpenShare;
}

double
quota_ledger::Used(instant aNow, workspace_id const& aWorkspace)
{
  return Find(aWorkspace).mWindow.Sum(aNow);
}

bool
quota_ledger::TryCharge(instant aNow,
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
quota_ledger::IsDrawn(instant aNow, account& aAccount, double aRoom)
{
  double const reports =
    std::chrono::duration<double>(mReportDelay) / kPaceTime;
  double const unseen = aAccount.mLatelyAsked.Sum(aNow) * reports;
  return unseen <= aRoom ||
         std::uniform_real_distribution<double>{}(mRandom)*unseen < aRoom;
}

void
quota_ledger::Refund(instant aNow,
                     workspace_id const& aWorkspace,
                     double aUnits)
{
  account& found = Find(aWorkspace);
  found.mWindow.Add(aNow, -aUnits);
  found.mSpent -= aUnits;
}

duration
quota_ledger::WaitFor(instant aNow,
                      dispatch_workspace const& aWorkspace,
                      double aUnits)
{
  account& found = Find(aWorkspace.mName);
  return found.mWindow.WaitFor(found.mWindow.Sum(aNow) + aUnits -
                               Limit(aWorkspace));
}

std::vector<spent_units>
quota_ledger::UsedByAll(instant aNow)
{
  std::vector<spent_units> used;
  if (!mStartedAt || aNow - *mStartedAt < mTerms.mWindow)
    return used;
  for (accounts::value_type& entry : mAccounts)
    used.push_back(
      { .mWorkspace = entry.first, .mUnits = entry.second.mWindow.Sum(aNow) });
  return used;
}

std::vector<spent_units>
quota_ledger::Spent() const
{
  std::vector<spent_units> spent;
  for (auto const& [name, found] : mAccounts)
    spent.push_back(
      { .mWorkspace = name, .mUnits = found.mSpent, .mAsked = found.mAsked });
  return spent;
}

}

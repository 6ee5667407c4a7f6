#include <LibDispatch/QuotaLedger.h>

#include <algorithm>
#include <chrono>

namespace lycheeseam {

void
quota_ledger::Fill(account& aAccount, instant aNow) const
{
  double const seconds =
    std::chrono::duration<double>(aNow - aAccount.mFilledAt).count();
  aAccount.mFilledAt = aNow;
  aAccount.mLevel =
    std::min(aAccount.mLevel + seconds * aAccount.mRate * mOpenShare,
             aAccount.mBurst * mOpenShare);
}

void
quota_ledger::Apply(instant aNow, fleet_view const& aView)
{
  for (auto& [name, found] : mAccounts)
    Fill(found, aNow);
  mOpenShare = static_cast<double>(aView.mInstances - aView.mSilentInstances) /
               aView.mInstances;
  if (aView.mConfig) {
    for (dispatch_workspace const& row : aView.mConfig->Workspaces()) {
      auto const [entry, isNew] = mAccounts.try_emplace(row.mName);
      account& found = entry->second;
      if (isNew)
        found.mFilledAt = aNow;
      if (isNew || found.mRate == 0)
        found.mLevel = row.mBurst;
      found.mRate = row.mRate;
      found.mBurst = row.mBurst;
    }
  }
  for (spent_units const& spent : aView.mSpentElsewhere) {
    account& found = mAccounts[spent.mWorkspace];
    // The sum falls when an instance leaves it; that gives nothing back.
    found.mLevel -= std::max(0.0, spent.mUnits - found.mSeenElsewhere);
    found.mSeenElsewhere = spent.mUnits;
  }
}

bool
quota_ledger::TryCharge(instant aNow,
                        dispatch_workspace const& aWorkspace,
                        double aUnits)
{
  account& found = mAccounts[aWorkspace.mName];
  if (aWorkspace.mRate > 0) {
    Fill(found, aNow);
    if (found.mLevel + mTerms.mSlackUnits * mOpenShare < aUnits)
      return false;
    found.mLevel -= aUnits;
  }
  found.mSpent += aUnits;
  return true;
}

void
quota_ledger::Refund(workspace_id const& aWorkspace, double aUnits)
{
  account& found = mAccounts[aWorkspace];
  found.mLevel += aUnits;
  found.mSpent -= aUnits;
}

duration
quota_ledger::WaitFor(workspace_id const& aWorkspace, double aUnits) const
{
  auto const found = mAccounts.find(aWorkspace);
  if (found == mAccounts.end() || found->second.mRate <= 0)
    return {};
  double const missing =
    aUnits - found->second.mLevel - mTerms.mSlackUnits * mOpenShare;
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(
    std::max(0.0, missing / (found->second.mRate * mOpenShare))));
}

std::vector<spent_units>
quota_ledger::Spent() const
{
  std::vector<spent_units> spent;
  for (auto const& [name, found] : mAccounts)
    spent.push_back({ .mWorkspace = name, .mUnits = found.mSpent });
  return spent;
}

}

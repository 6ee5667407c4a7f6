#include <LibLimits/BudgetBorrower.h>

#include <algorithm>
#include <utility>

namespace lycheeseam {

namespace {

/// The most charges of one workspace that wait at one instance.
constexpr std::size_t kMaxWaiting = 1024;

}

budget_borrower::budget_borrower(instance_identity aSelf, budget_timing aTiming)
  : mSelf(std::move(aSelf))
  , mTiming(aTiming)
{
}

void
budget_borrower::OnLimits(workspace_row const& aRow, slot_layout aLayout)
{
  auto const [account, isNew] = mAccounts.try_emplace(
    aRow.mName, borrowing_account{ aRow, aLayout, mTiming });
  if (!isNew)
    account->second.SetLimits(aRow);
}

void
budget_borrower::OnWorkspaceRemoved(workspace_id const& aWorkspace)
{
  auto const found = mAccounts.find(aWorkspace);
  if (found == mAccounts.end())
    return;
  for (charge_request const& waiting : found->second.Waiting())
    Decide(waiting.mCharge, charge_result::UnknownWorkspace);
  mAccounts.erase(found);
}

void
budget_borrower::Charge(instant aNow,
                        charge_request const& aRequest,
                        slot_fold const& aSlots)
{
  auto const found = mAccounts.find(aRequest.mWorkspace);
  if (found == mAccounts.end()) {
    Decide(aRequest.mCharge, charge_result::UnknownWorkspace);
    return;
  }
  borrowing_account& account = found->second;
  if (aRequest.mTokens > account.Burst()) {
    Decide(aRequest.mCharge, charge_result::AboveBurst);
    return;
  }
  if (account.Waiting().size() >= kMaxWaiting) {
    Decide(aRequest.mCharge, charge_result::QueueFull);
    return;
  }
  account.Enqueue(aRequest);
  Progress(aNow, account, aSlots);
}

void
budget_borrower::OnGrant(instant aNow,
                         token_grant const& aGrant,
                         slot_fold const& aSlots)
{
  auto const found = mAccounts.find(aGrant.mWorkspace);
  if (aGrant.mTo != mSelf || found == mAccounts.end())
    return;
  found->second.OnGrant(aNow, aGrant);
  Progress(aNow, found->second, aSlots);
}

void
budget_borrower::Settle(charge_id aCharge,
                        token_count aUsed,
                        slot_fold const& aSlots)
{
  auto const found = mAdmitted.find(aCharge);
  if (found == mAdmitted.end())
    return;
  admitted_charge const charge = std::move(found->second);
  mAdmitted.erase(found);
  token_count unused = charge.mTokens - aUsed;
  auto const account = mAccounts.find(charge.mWorkspace);
  if (unused < 0 && account != mAccounts.end())
    account->second.AddDebt(-unused);
  for (charge_part part : charge.mParts) {
    part.mTokens = std::min(part.mTokens, unused);
    if (part.mTokens <= 0)
      break;
    unused -= part.mTokens;
    SendRefund(charge.mWorkspace, part, aSlots);
  }
}

void
budget_borrower::Cancel(charge_id aCharge)
{
  for (auto& [name, account] : mAccounts)
    account.Cancel(aCharge);
}

void
budget_borrower::Tick(instant aNow, slot_fold const& aSlots)
{
  bool const isReporting = aNow >= mReportAt;
  if (isReporting)
    mReportAt = aNow + mTiming.mReportInterval;
  for (auto& [name, account] : mAccounts) {
    account.ExpireRequests(aNow);
    Progress(aNow, account, aSlots);
    if (isReporting)
      SendReports(account, aSlots);
  }
}

std::optional<instant>
budget_borrower::NextWake(instant aNow) const
{
  std::optional<instant> next;
  for (auto const& [name, account] : mAccounts) {
    std::optional<instant> wake = account.NextWake(aNow);
    if (account.HasReports())
      wake = std::min(wake.value_or(mReportAt), mReportAt);
    if (wake)
      next = std::min(next.value_or(*wake), *wake);
  }
  return next;
}

std::vector<budget_envelope>
budget_borrower::TakeOutbox()
{
  return std::exchange(mOutbox, {});
}

std::vector<charge_decision>
budget_borrower::TakeDecisions()
{
  return std::exchange(mDecisions, {});
}

void
budget_borrower::Decide(charge_id aCharge, charge_result aResult)
{
  mDecisions.push_back({ .mCharge = aCharge, .mResult = aResult });
}

void
budget_borrower::Progress(instant aNow,
                          borrowing_account& aAccount,
                          slot_fold const& aSlots)
{
  for (admitted_charge& charge : aAccount.AdmitCovered(aNow)) {
    Decide(charge.mCharge, charge_result::Admitted);
    mAdmitted.insert_or_assign(charge.mCharge, std::move(charge));
  }
  for (charge_id const expired : aAccount.ExpireWaiting(aNow))
    Decide(expired, charge_result::DeadlinePassed);
  for (token_request& request :
       aAccount.MakeRequests(aNow, mSelf, aSlots, mLastSequence)) {
    instance_id const& holder = aSlots.Find(request.mSlot)->mInstance;
    mOutbox.push_back({ .mTo = holder, .mMessage = std::move(request) });
  }
}

void
budget_borrower::SendReports(borrowing_account& aAccount,
                             slot_fold const& aSlots)
{
  for (token_report& report : aAccount.TakeReports()) {
    slot_holder const* const holder = aSlots.Find(report.mSlot);
    if (holder == nullptr || holder->mClaim != report.mClaim)
      continue;
    mOutbox.push_back(
      { .mTo = holder->mInstance, .mMessage = std::move(report) });
  }
}

void
budget_borrower::SendRefund(workspace_id const& aName,
                            charge_part const& aPart,
                            slot_fold const& aSlots)
{
  slot_holder const* const holder = aSlots.Find(aPart.mSlot);
  if (holder == nullptr || holder->mClaim != aPart.mClaim)
    return;
  token_refund refund{ .mWorkspace = aName,
                       .mSlot = aPart.mSlot,
                       .mClaim = aPart.mClaim,
                       .mTokens = aPart.mTokens };
  mOutbox.push_back(
    { .mTo = holder->mInstance, .mMessage = std::move(refund) });
}

}

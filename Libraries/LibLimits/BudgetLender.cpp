#include <LibLimits/BudgetLender.h>
#include <LibLimits/WorkspaceSlots.h>

#include <algorithm>
#include <utility>

namespace lycheeseam {

namespace {

// A queue is served again after at least this time, so that a balance which
// outstanding loans keep from growing costs few wake-ups.
constexpr duration kMinServeDelay = std::chrono::milliseconds{ 2 };

}

budget_lender::budget_lender(instance_identity aSelf,
                             slot_layout aLayout,
                             budget_timing aTiming)
  : mSelf(std::move(aSelf))
  , mTiming(aTiming)
  , mLayout(aLayout)
{
}

void
budget_lender::OnSlots(slot_fold const& aSlots)
{
  std::vector<slot_id> dropped;
  for (auto const& [slot, held] : mHeld) {
    slot_holder const* const holder = aSlots.Find(slot);
    if (holder == nullptr || holder->mClaim != held.mClaim)
      dropped.push_back(slot);
  }
  for (slot_id const slot : dropped)
    DropSlot(slot);
}

void
budget_lender::OpenSlot(instant aNow,
                        slot_id aSlot,
                        log_offset aClaim,
                        instant aAccruesFrom)
{
  mHeld[aSlot] = { .mClaim = aClaim, .mAccruesFrom = aAccruesFrom };
  for (auto const& [name, row] : mRows)
    OpenAccount(aNow, row, aSlot);
}

std::vector<slot_id>
budget_lender::OpenSlots() const
{
  std::vector<slot_id> slots;
  for (auto const& [slot, held] : mHeld)
    slots.push_back(slot);
  return slots;
}

void
budget_lender::OnLimits(instant aNow, workspace_row const& aRow)
{
  mRows[aRow.mName] = aRow;
  std::vector<slot_id> const slots = WorkspaceSlots(aRow.mName, mLayout);
  slot_share const share = slot_share::Of(aRow, slots.size());
  for (auto const& [slot, held] : mHeld) {
    auto const found = mAccounts.find({ aRow.mName, slot });
    if (found == mAccounts.end())
      OpenAccount(aNow, aRow, slot);
    else
      found->second.mTokens.SetShare(aNow, share);
  }
}

void
budget_lender::OnWorkspaceRemoved(workspace_id const& aWorkspace)
{
  mRows.erase(aWorkspace);
  std::erase_if(mAccounts, [&aWorkspace](auto const& aEntry) {
    return aEntry.first.mWorkspace == aWorkspace;
  });
}

void
budget_lender::OnRequest(instant aNow,
                         lending_state aLending,
                         token_request const& aRequest)
{
  auto const found = mAccounts.find({ aRequest.mWorkspace, aRequest.mSlot });
  if (found == mAccounts.end()) {
    Answer(aRequest, grant_result::NotHolder, nullptr);
    return;
  }
  lending_account& account = found->second;
  if (aLending == lending_state::Withheld || aRequest.mWanted <= 0) {
    Answer(aRequest, grant_result::Withheld, &account);
    return;
  }
  ServeQueue(aNow, account, aLending);
  if (account.mWaiting.empty() &&
      account.mTokens.Balance() >= aRequest.mWanted) {
    Lend(aNow, account, aRequest);
    return;
  }
  if (!WillAccrue(account, aRequest)) {
    Answer(aRequest, grant_result::Short, &account);
    return;
  }
  duration const queueTime =
    std::min(aRequest.mMaxQueueTime, mTiming.mQueueTimeLimit);
  account.mWaiting.push_back(
    { .mRequest = aRequest, .mDeadline = aNow + queueTime });
  account.mWaitingTokens += aRequest.mWanted;
  Answer(aRequest, grant_result::Queued, &account);
  ServeQueue(aNow, account, aLending);
}

token_count
budget_lender::OnRefund(instant aNow, token_refund const& aRefund)
{
  lending_account* const account =
    FindAccount(aRefund.mWorkspace, aRefund.mSlot, aRefund.mClaim);
  return account == nullptr ? 0
                            : account->mTokens.Refund(aNow, aRefund.mTokens);
}

void
budget_lender::OnReport(instant aNow, token_report const& aReport)
{
  lending_account* const account =
    FindAccount(aReport.mWorkspace, aReport.mSlot, aReport.mClaim);
  if (account == nullptr)
    return;
  for (loan_spend const& spend : aReport.mSpent)
    account->mTokens.MarkSpent(aNow, spend.mLoan, spend.mTokens);
}

void
budget_lender::Tick(instant aNow, lending_state aLending)
{
  for (auto& [key, account] : mAccounts) {
    if (!account.mWaiting.empty() && account.mServeAt <= aNow)
      ServeQueue(aNow, account, aLending);
  }
}

std::optional<instant>
budget_lender::NextWake() const
{
  std::optional<instant> next;
  for (auto const& [key, account] : mAccounts) {
    if (account.mWaiting.empty())
      continue;
    next = next ? std::min(*next, account.mServeAt) : account.mServeAt;
  }
  return next;
}

std::vector<budget_envelope>
budget_lender::TakeOutbox()
{
  return std::exchange(mOutbox, {});
}

void
budget_lender::OpenAccount(instant aNow,
                           workspace_row const& aRow,
                           slot_id aSlot)
{
  std::vector<slot_id> const slots = WorkspaceSlots(aRow.mName, mLayout);
  if (!std::binary_search(slots.begin(), slots.end(), aSlot))
    return;
  held_slot const& held = mHeld.at(aSlot);
  slot_account tokens{ slot_share::Of(aRow, slots.size()),
                       std::max(aNow, held.mAccruesFrom),
                       mTiming.mLenderLoanExpiry };
  mAccounts.insert_or_assign(
    account_key{ aRow.mName, aSlot },
    lending_account{ .mClaim = held.mClaim, .mTokens = std::move(tokens) });
}

void
budget_lender::DropSlot(slot_id aSlot)
{
  mHeld.erase(aSlot);
  std::erase_if(mAccounts, [aSlot](auto const& aEntry) {
    return aEntry.first.mSlot == aSlot;
  });
}

budget_lender::lending_account*
budget_lender::FindAccount(workspace_id const& aWorkspace,
                           slot_id aSlot,
                           log_offset aClaim)
{
  auto const found = mAccounts.find({ aWorkspace, aSlot });
  if (found == mAccounts.end() || found->second.mClaim != aClaim)
    return nullptr;
  return &found->second;
}

bool
budget_lender::WillAccrue(lending_account const& aAccount,
                          token_request const& aRequest) const
{
  token_count const burst = aAccount.mTokens.Share().mBurst;
  if (aRequest.mWanted > burst)
    return false;
  token_count const missing =
    aAccount.mWaitingTokens + aRequest.mWanted - aAccount.mTokens.Balance();
  duration const queueTime =
    std::min(aRequest.mMaxQueueTime, mTiming.mQueueTimeLimit);
  return aAccount.mTokens.AccrualTime(missing) <= queueTime;
}

void
budget_lender::Answer(token_request const& aRequest,
                      grant_result aResult,
                      lending_account const* aAccount,
                      loan_id aLoan)
{
  token_grant grant{ .mTo = aRequest.mFrom,
                     .mSequence = aRequest.mSequence,
                     .mWorkspace = aRequest.mWorkspace,
                     .mSlot = aRequest.mSlot,
                     .mResult = aResult };
  if (aAccount != nullptr) {
    grant.mClaim = aAccount->mClaim;
    grant.mLeft = aAccount->mTokens.Balance() - aAccount->mWaitingTokens;
  }
  if (aResult == grant_result::Lent) {
    grant.mLoan = aLoan;
    grant.mTokens = aRequest.mWanted;
  }
  mOutbox.push_back(
    { .mTo = aRequest.mFrom.mInstance, .mMessage = std::move(grant) });
}

void
budget_lender::Lend(instant aNow,
                    lending_account& aAccount,
                    token_request const& aRequest)
{
  loan_id const loan = aAccount.mTokens.Lend(aNow, aRequest.mWanted);
  Answer(aRequest, grant_result::Lent, &aAccount, loan);
}

void
budget_lender::ServeQueue(instant aNow,
                          lending_account& aAccount,
                          lending_state aLending)
{
  aAccount.mTokens.Advance(aNow);
  while (!aAccount.mWaiting.empty()) {
    queued_request const head = aAccount.mWaiting.front();
    bool const isCovered = aAccount.mTokens.Balance() >= head.mRequest.mWanted;
    bool const mayLend = aLending == lending_state::Granted;
    if (!(isCovered && mayLend) && aNow < head.mDeadline)
      break;
    aAccount.mWaiting.pop_front();
    aAccount.mWaitingTokens -= head.mRequest.mWanted;
    if (isCovered && mayLend && aNow <= head.mDeadline)
      Lend(aNow, aAccount, head.mRequest);
    else
      Answer(head.mRequest, grant_result::Short, &aAccount);
  }
  if (aAccount.mWaiting.empty())
    return;
  queued_request const& head = aAccount.mWaiting.front();
  token_count const missing =
    head.mRequest.mWanted - aAccount.mTokens.Balance();
  duration const wait =
    std::max(kMinServeDelay, aAccount.mTokens.AccrualTime(missing));
  aAccount.mServeAt = std::min(aNow + wait, head.mDeadline);
}

}

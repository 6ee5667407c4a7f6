#include <LibLimits/BorrowingAccount.h>
#include <LibLimits/WorkspaceSlots.h>

#include <algorithm>
#include <utility>

namespace lycheeseam {

namespace {

slot_share
ShareOf(workspace_row const& aRow, slot_layout aLayout)
{
  return slot_share::Of(aRow,
                        std::min(aLayout.mSlots, aLayout.mSlotsPerWorkspace));
}

void
KeepEarliest(std::optional<instant>& aNext, instant aCandidate)
{
  aNext = aNext ? std::min(*aNext, aCandidate) : aCandidate;
}

}

borrowing_account::borrowing_account(workspace_row const& aRow,
                                     slot_layout aLayout,
                                     budget_timing const& aTiming)
  : mName(aRow.mName)
  , mTiming(aTiming)
  , mLayout(aLayout)
  , mLenders(ShareOf(aRow, aLayout), WorkspaceSlots(aRow.mName, aLayout))
{
  SetLimits(aRow);
}

void
borrowing_account::SetLimits(workspace_row const& aRow)
{
  slot_share const share = ShareOf(aRow, mLayout);
  mBurst = share.mBurst * share.mSlotCount;
  mLenders.SetShare(share);
}

void
borrowing_account::Enqueue(charge_request const& aRequest)
{
  charge_request charge = aRequest;
  // A charge above the burst could never be covered, so the rest of the debt is
  // left to the next charges.
  token_count const headroom =
    std::max<token_count>(0, mBurst - charge.mTokens);
  token_count const debt = std::min(mDebt, headroom);
  mDebt -= debt;
  charge.mTokens += debt;
  mWaiting.push_back(charge);
}

void
borrowing_account::Cancel(charge_id aCharge)
{
  std::erase_if(mWaiting, [aCharge](charge_request const& aRequest) {
    return aRequest.mCharge == aCharge;
  });
}

std::vector<admitted_charge>
borrowing_account::AdmitCovered(instant aNow)
{
  mLoanBalance.Expire(aNow);
  std::vector<admitted_charge> admitted;
  // A later charge may be admitted before an earlier, larger one. That does not
  // starve the earlier one, which has token requests of its own.
  auto waiting = mWaiting.begin();
  while (waiting != mWaiting.end()) {
    bool const isCovered = waiting->mTokens <= mLoanBalance.Available();
    if (!isCovered || aNow > waiting->mDeadline) {
      ++waiting;
      continue;
    }
    admitted.push_back(AdmitCharge(*waiting));
    waiting = mWaiting.erase(waiting);
  }
  return admitted;
}

std::vector<charge_id>
borrowing_account::ExpireWaiting(instant aNow)
{
  std::vector<charge_id> expired;
  std::erase_if(mWaiting, [&](charge_request const& aRequest) {
    bool const isOver = aNow >= aRequest.mDeadline;
    if (isOver)
      expired.push_back(aRequest.mCharge);
    return isOver;
  });
  return expired;
}

std::vector<token_request>
borrowing_account::MakeRequests(instant aNow,
                                instance_identity const& aSelf,
                                slot_fold const& aSlots,
                                std::uint64_t& aLastSequence)
{
  std::vector<token_request> requests;
  token_count covered = mLoanBalance.Available() + mRequestedTokens;
  for (charge_request const& waiting : mWaiting) {
    token_count const missing = waiting.mTokens - covered;
    covered = std::max<token_count>(0, -missing);
    if (missing <= 0)
      continue;
    std::vector<slot_request> const planned =
      mLenders.Plan(aNow, missing, aSlots, aSelf.mInstance);
    if (planned.empty())
      break;
    for (slot_request const& request : planned) {
      requests.push_back(
        OpenRequest(aNow, request, waiting.mDeadline, ++aLastSequence));
      requests.back().mFrom = aSelf;
    }
  }
  return requests;
}

void
borrowing_account::OnGrant(instant aNow, token_grant const& aGrant)
{
  auto const found = mOpenRequests.find(aGrant.mSequence);
  if (found == mOpenRequests.end())
    return;
  open_request& request = found->second;
  // An answer of NotHolder has no claim and no balance.
  if (aGrant.mClaim != log_offset{})
    mLenders.OnBalance(aNow, aGrant.mSlot, aGrant.mLeft);
  if (aGrant.mResult == grant_result::Queued) {
    request.mTimeoutAt += mTiming.mQueueTimeLimit;
    return;
  }
  if (aGrant.mResult == grant_result::Lent) {
    mLoanBalance.Add({ .mSlot = aGrant.mSlot,
                       .mClaim = aGrant.mClaim,
                       .mLoan = aGrant.mLoan,
                       .mTokens = aGrant.mTokens },
                     request.mRequestedAt + mTiming.mBorrowerLoanExpiry);
  } else {
    mLenders.Pause(aGrant.mSlot, aNow + mTiming.mRefusalPause);
  }
  mRequestedTokens -= request.mRequested.mTokens;
  mOpenRequests.erase(found);
}

void
borrowing_account::ExpireRequests(instant aNow)
{
  std::erase_if(mOpenRequests, [&](auto const& aEntry) {
    open_request const& request = aEntry.second;
    bool const isOver = aNow >= request.mTimeoutAt;
    if (isOver) {
      mLenders.Pause(request.mRequested.mSlot, aNow + mTiming.mTimeoutPause);
      mRequestedTokens -= request.mRequested.mTokens;
    }
    return isOver;
  });
}

std::vector<token_report>
borrowing_account::TakeReports()
{
  std::vector<token_report> reports;
  for (auto& [slot, report] : mUnreported)
    reports.push_back(std::move(report));
  mUnreported.clear();
  return reports;
}

std::optional<instant>
borrowing_account::NextWake(instant aNow) const
{
  std::optional<instant> next;
  for (auto const& [sequence, request] : mOpenRequests)
    KeepEarliest(next, request.mTimeoutAt);
  for (charge_request const& waiting : mWaiting)
    KeepEarliest(next, waiting.mDeadline);
  std::optional<instant> const pauseEnd = mLenders.NextPauseEnd(aNow);
  if (!mWaiting.empty() && pauseEnd)
    KeepEarliest(next, *pauseEnd);
  return next;
}

admitted_charge
borrowing_account::AdmitCharge(charge_request const& aRequest)
{
  admitted_charge charge{ .mCharge = aRequest.mCharge,
                          .mWorkspace = mName,
                          .mTokens = aRequest.mTokens,
                          .mParts = mLoanBalance.Take(aRequest.mTokens) };
  RecordSpent(charge.mParts);
  return charge;
}

void
borrowing_account::RecordSpent(std::span<charge_part const> aParts)
{
  for (charge_part const& part : aParts) {
    token_report& report = mUnreported[part.mSlot];
    // Usage under an older claim no longer counts against any burst.
    if (report.mClaim != part.mClaim)
      report = { .mWorkspace = mName,
                 .mSlot = part.mSlot,
                 .mClaim = part.mClaim };
    report.mSpent.push_back({ .mLoan = part.mLoan, .mTokens = part.mTokens });
  }
}

token_request
borrowing_account::OpenRequest(instant aNow,
                               slot_request aRequest,
                               instant aDeadline,
                               std::uint64_t aSequence)
{
  mRequestedTokens += aRequest.mTokens;
  mOpenRequests[aSequence] = { .mRequested = aRequest,
                               .mRequestedAt = aNow,
                               .mTimeoutAt = aNow + mTiming.mRequestTimeout };
  return { .mSequence = aSequence,
           .mWorkspace = mName,
           .mSlot = aRequest.mSlot,
           .mWanted = aRequest.mTokens,
           .mMaxQueueTime = aDeadline - aNow };
}

}

#include <LibLimits/BorrowingAccount.h>
#include <LibLimits/WorkspaceSlots.h>

#include <algorithm>
#include <utility>

namespace lycheeseam {

namespace {

slot_share
ShareOf(workspace_row const& aRow, slot_layout aLayout)
{
  return slot_share::Of(aRow, std::min(aLayout.mSlots, aLayout.mHomes));
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
  , mHomes(ShareOf(aRow, aLayout), WorkspaceSlots(aRow.mName, aLayout))
{
  SetLimits(aRow);
}

void
borrowing_account::SetLimits(workspace_row const& aRow)
{
  slot_share const share = ShareOf(aRow, mLayout);
  mBurst = share.mBurst * share.mHomes;
  mHomes.SetShare(share);
}

void
borrowing_account::Enqueue(charge_request const& aRequest)
{
  charge_request charge = aRequest;
  token_count const room = std::max<token_count>(0, mBurst - charge.mTokens);
  token_count const debt = std::min(mDebt, room);
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
borrowing_account::Serve(instant aNow)
{
  mPurse.Expire(aNow);
  std::vector<admitted_charge> admitted;
  // A later request may be served before an earlier and larger one; each has
  // its own ask in a home's queue, so the earlier one's turn still comes.
  auto waiting = mWaiting.begin();
  while (waiting != mWaiting.end()) {
    bool const isCovered = waiting->mTokens <= mPurse.Available();
    if (!isCovered || aNow > waiting->mDeadline) {
      ++waiting;
      continue;
    }
    admitted.push_back(Pay(*waiting));
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
borrowing_account::Ask(instant aNow,
                       instance_identity const& aSelf,
                       slot_fold const& aSlots,
                       std::uint64_t& aLastSequence)
{
  std::vector<token_request> requests;
  token_count covered = mPurse.Available() + mAsked;
  for (charge_request const& waiting : mWaiting) {
    token_count const missing = waiting.mTokens - covered;
    covered = std::max<token_count>(0, -missing);
    if (missing <= 0)
      continue;
    std::vector<slot_request> const asks =
      mHomes.Plan(aNow, missing, aSlots, aSelf.mInstance);
    if (asks.empty())
      break;
    for (slot_request const& ask : asks) {
      requests.push_back(Open(aNow, ask, waiting.mDeadline, ++aLastSequence));
      requests.back().mFrom = aSelf;
    }
  }
  return requests;
}

void
borrowing_account::OnGrant(instant aNow, token_grant const& aGrant)
{
  auto const asked = mAsks.find(aGrant.mSequence);
  if (asked == mAsks.end())
    return;
  open_ask& ask = asked->second;
  if (aGrant.mClaim != log_offset{})
    mHomes.OnBalance(aNow, aGrant.mSlot, aGrant.mLeft);
  if (aGrant.mResult == grant_result::Queued) {
    ask.mTimeoutAt += mTiming.mQueuePatience;
    return;
  }
  if (aGrant.mResult == grant_result::Lent) {
    mPurse.Add({ .mSlot = aGrant.mSlot,
                 .mClaim = aGrant.mClaim,
                 .mLoan = aGrant.mLoan,
                 .mTokens = aGrant.mTokens },
               ask.mAskedAt + mTiming.mLapse);
  } else {
    mHomes.Pause(aGrant.mSlot, aNow + mTiming.mShortPause);
  }
  mAsked -= ask.mAsk.mTokens;
  mAsks.erase(asked);
}

void
borrowing_account::ExpireAsks(instant aNow)
{
  std::erase_if(mAsks, [&](auto const& aEntry) {
    open_ask const& ask = aEntry.second;
    bool const isOver = aNow >= ask.mTimeoutAt;
    if (isOver) {
      mHomes.Pause(ask.mAsk.mSlot, aNow + mTiming.mSuspectPause);
      mAsked -= ask.mAsk.mTokens;
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
  for (auto const& [sequence, ask] : mAsks)
    KeepEarliest(next, ask.mTimeoutAt);
  for (charge_request const& waiting : mWaiting)
    KeepEarliest(next, waiting.mDeadline);
  std::optional<instant> const pauseEnd = mHomes.NextPauseEnd(aNow);
  if (!mWaiting.empty() && pauseEnd)
    KeepEarliest(next, *pauseEnd);
  return next;
}

admitted_charge
borrowing_account::Pay(charge_request const& aRequest)
{
  admitted_charge charge{ .mCharge = aRequest.mCharge,
                          .mWorkspace = mName,
                          .mTokens = aRequest.mTokens,
                          .mParts = mPurse.Take(aRequest.mTokens) };
  NoteSpent(charge.mParts);
  return charge;
}

void
borrowing_account::NoteSpent(std::span<charge_part const> aParts)
{
  for (charge_part const& part : aParts) {
    token_report& report = mUnreported[part.mSlot];
    // What was spent under an older claim no longer matters to anyone.
    if (report.mClaim != part.mClaim)
      report = { .mWorkspace = mName,
                 .mSlot = part.mSlot,
                 .mClaim = part.mClaim };
    report.mSpent.push_back({ .mLoan = part.mLoan, .mTokens = part.mTokens });
  }
}

token_request
borrowing_account::Open(instant aNow,
                        slot_request aAsk,
                        instant aDeadline,
                        std::uint64_t aSequence)
{
  mAsked += aAsk.mTokens;
  mAsks[aSequence] = { .mAsk = aAsk,
                       .mAskedAt = aNow,
                       .mTimeoutAt = aNow + mTiming.mAskTimeout };
  return { .mSequence = aSequence,
           .mWorkspace = mName,
           .mSlot = aAsk.mSlot,
           .mWanted = aAsk.mTokens,
           .mPatience = aDeadline - aNow };
}

}

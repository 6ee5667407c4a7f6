#include <LibLimits/FleetBudget.h>
#include <LibLimits/OpeningWait.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace lycheeseam {

namespace {

void
Move(std::vector<budget_envelope> aFrom, std::vector<budget_envelope>& aTo)
{
  std::ranges::move(aFrom, std::back_inserter(aTo));
}

}

fleet_budget::fleet_budget(instance_identity aSelf,
                           slot_layout aLayout,
                           budget_timing aTiming,
                           takeover_timing aTakeover)
  : mSelf(std::move(aSelf))
  , mTiming(aTiming)
  , mSlots(aLayout)
  , mQuorum(aLayout, aTiming)
  , mPeerActivity(aTiming)
  , mRelease(mSelf, aTiming)
  , mTakeover(mSelf, aTakeover)
  , mLender(mSelf, aLayout, aTiming)
  , mBorrower(mSelf, aTiming)
{
}

void
fleet_budget::Restore(instant aNow,
                      std::map<slot_id, slot_holder> aHolders,
                      log_offset aFolded)
{
  mSlots.Restore(std::move(aHolders));
  mFolded = aFolded;
  OnSlotsChanged(aNow);
}

void
fleet_budget::OnEntry(instant aNow, log_entry const& aEntry)
{
  mSlots.Apply(aEntry);
  mFolded = aEntry.mOffset;
  if (std::holds_alternative<slot_claim>(aEntry.mRecord))
    OnSlotsChanged(aNow);
}

void
fleet_budget::OnTailRead(instant aReadAt, log_offset aTail)
{
  mFolded = std::max(mFolded, aTail);
  mQuorum.OnTailRead(aReadAt);
}

void
fleet_budget::OnInstanceList(instant aNow, std::span<instance_id const> aLive)
{
  mTakeover.OnInstanceList(aNow, aLive);
}

void
fleet_budget::OnLimits(instant aNow, workspace_row const& aRow)
{
  mLender.OnLimits(aNow, aRow);
  mBorrower.OnLimits(aRow, mSlots.Layout());
}

void
fleet_budget::OnWorkspaceRemoved(workspace_id const& aWorkspace)
{
  mLender.OnWorkspaceRemoved(aWorkspace);
  mBorrower.OnWorkspaceRemoved(aWorkspace);
}

void
fleet_budget::OnMessage(instant aNow, budget_message const& aMessage)
{
  std::visit([&](auto const& aTyped) { Handle(aNow, aTyped); }, aMessage);
}

void
fleet_budget::Charge(instant aNow, charge_request const& aRequest)
{
  mBorrower.Charge(aNow, aRequest, mSlots);
}

void
fleet_budget::Settle(charge_id aCharge, token_count aUsed)
{
  mBorrower.Settle(aCharge, aUsed, mSlots);
}

void
fleet_budget::Cancel(charge_id aCharge)
{
  mBorrower.Cancel(aCharge);
}

void
fleet_budget::Tick(instant aNow)
{
  mPeerActivity.OnTick(aNow);
  if (aNow >= mProbeAt)
    SendProbes(aNow);
  OpenReleased(aNow);
  mLender.Tick(aNow, mQuorum.StateAt(aNow));
  mBorrower.Tick(aNow, mSlots);
}

instant
fleet_budget::NextWake(instant aNow) const
{
  instant next = mProbeAt;
  std::optional<instant> const lender = mLender.NextWake();
  std::optional<instant> const borrower = mBorrower.NextWake(aNow);
  if (lender)
    next = std::min(next, *lender);
  if (borrower)
    next = std::min(next, *borrower);
  return next;
}

std::vector<budget_envelope>
fleet_budget::TakeOutbox()
{
  Move(mLender.TakeOutbox(), mOutbox);
  Move(mBorrower.TakeOutbox(), mOutbox);
  return std::exchange(mOutbox, {});
}

std::vector<charge_decision>
fleet_budget::TakeDecisions()
{
  return mBorrower.TakeDecisions();
}

std::vector<slot_claim>
fleet_budget::TakeClaims(instant aNow)
{
  return mTakeover.DueClaims(aNow, mSlots, mFolded);
}

void
fleet_budget::OnSlotsChanged(instant aNow)
{
  mRelease.OnSlots(aNow, mSlots);
  mLender.OnSlots(mSlots);
  mQuorum.OnOwnSlots(mLender.OpenSlots());
  OpenReleased(aNow);
}

void
fleet_budget::OpenReleased(instant aNow)
{
  for (slot_id const slot : mRelease.TakeReleased(aNow)) {
    ++mCounters.mSlotsOpened;
    slot_holder const& holder = *mSlots.Find(slot);
    mLender.OpenSlot(
      aNow, slot, holder.mClaim, aNow + OpeningWait(holder, mSelf, mTiming));
  }
  mQuorum.OnOwnSlots(mLender.OpenSlots());
}

void
fleet_budget::SendProbes(instant aNow)
{
  mProbeAt = aNow + mTiming.mProbeInterval;
  std::set<instance_id> peers;
  bool isHolder = false;
  for (auto const& [slot, holder] : mSlots.Holders()) {
    isHolder = isHolder || holder.mInstance == mSelf.mInstance;
    peers.insert(holder.mInstance);
    if (mRelease.IsWaiting())
      peers.insert(holder.mFormerHolders.begin(), holder.mFormerHolders.end());
  }
  // Only holders lend and vote. Probes of all other instances of a large fleet
  // would cost each holder more than the rest of its control traffic.
  if (!isHolder)
    return;
  peers.erase(mSelf.mInstance);
  quorum_probe const probe{ .mFrom = mSelf, .mSentAt = aNow };
  for (instance_id const& peer : peers)
    mOutbox.push_back({ .mTo = peer, .mMessage = probe });
  mRelease.OnQuorumAnswer(MakeAnswer(aNow, probe));
}

quorum_answer
fleet_budget::MakeAnswer(instant aNow, quorum_probe const& aProbe) const
{
  quorum_answer answer{ .mFrom = mSelf,
                        .mTo = aProbe.mFrom,
                        .mProbeSentAt = aProbe.mSentAt,
                        .mFolded = mFolded,
                        .mUnresponsive =
                          mPeerActivity.Unresponsive(aNow, mSlots) };
  if (mQuorum.StateAt(aNow) == lending_state::Granted)
    answer.mSlots = mLender.OpenSlots();
  std::erase(answer.mUnresponsive, mSelf.mInstance);
  return answer;
}

void
fleet_budget::Handle(instant aNow, token_request const& aMessage)
{
  mPeerActivity.RecordMessage(aNow, aMessage.mFrom.mInstance);
  lending_state const lending = mQuorum.StateAt(aNow);
  if (lending == lending_state::Withheld)
    ++mCounters.mRequestsWithheld;
  mLender.OnRequest(aNow, lending, aMessage);
}

void
fleet_budget::Handle(instant aNow, token_grant const& aMessage)
{
  mBorrower.OnGrant(aNow, aMessage, mSlots);
}

void
fleet_budget::Handle(instant aNow, token_refund const& aMessage)
{
  mCounters.mTokensRefunded += mLender.OnRefund(aNow, aMessage);
}

void
fleet_budget::Handle(instant aNow, token_report const& aMessage)
{
  mLender.OnReport(aNow, aMessage);
}

void
fleet_budget::Handle(instant aNow, quorum_probe const& aMessage)
{
  mPeerActivity.RecordMessage(aNow, aMessage.mFrom.mInstance);
  mOutbox.push_back({ .mTo = aMessage.mFrom.mInstance,
                      .mMessage = MakeAnswer(aNow, aMessage) });
}

void
fleet_budget::Handle(instant aNow, quorum_answer const& aMessage)
{
  if (aMessage.mTo != mSelf)
    return;
  mPeerActivity.RecordMessage(aNow, aMessage.mFrom.mInstance);
  // A peer that has folded more shows that the log is reachable for others.
  // This instance must catch up before such contact allows it to lend.
  if (aMessage.mFolded <= mFolded)
    mQuorum.OnQuorumAnswer(aNow, aMessage);
  mRelease.OnQuorumAnswer(aMessage);
}

}

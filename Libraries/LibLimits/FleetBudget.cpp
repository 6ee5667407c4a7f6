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
  , mStanding(aLayout, aTiming)
  , mWatch(aTiming)
  , mRelease(mSelf, aTiming)
  , mTakeover(mSelf, aTakeover)
  , mHome(mSelf, aLayout, aTiming)
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
  mStanding.OnTailRead(aReadAt);
}

void
fleet_budget::OnInstanceList(instant aNow, std::span<instance_id const> aLive)
{
  mTakeover.OnInstanceList(aNow, aLive);
}

void
fleet_budget::OnLimits(instant aNow, workspace_row const& aRow)
{
  mHome.OnLimits(aNow, aRow);
  mBorrower.OnLimits(aRow, mSlots.Layout());
}

void
fleet_budget::OnWorkspaceRemoved(workspace_id const& aWorkspace)
{
  mHome.OnWorkspaceRemoved(aWorkspace);
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
  mWatch.OnTick(aNow);
  if (aNow >= mProbeAt)
    Probe(aNow);
  OpenReleased(aNow);
  mHome.Tick(aNow, mStanding.At(aNow));
  mBorrower.Tick(aNow, mSlots);
}

instant
fleet_budget::NextWake(instant aNow) const
{
  instant next = mProbeAt;
  std::optional<instant> const home = mHome.NextWake();
  std::optional<instant> const borrower = mBorrower.NextWake(aNow);
  if (home)
    next = std::min(next, *home);
  if (borrower)
    next = std::min(next, *borrower);
  return next;
}

std::vector<budget_envelope>
fleet_budget::TakeOutbox()
{
  Move(mHome.TakeOutbox(), mOutbox);
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
  return mTakeover.Due(aNow, mSlots, mFolded);
}

void
fleet_budget::OnSlotsChanged(instant aNow)
{
  mRelease.OnSlots(aNow, mSlots);
  mHome.OnSlots(mSlots);
  mStanding.OnOwnSlots(mHome.OpenSlots());
  OpenReleased(aNow);
}

void
fleet_budget::OpenReleased(instant aNow)
{
  for (slot_id const slot : mRelease.TakeReleased(aNow)) {
    ++mCounters.mSlotsOpened;
    slot_holder const& holder = *mSlots.Find(slot);
    mHome.OpenSlot(
      aNow, slot, holder.mClaim, aNow + OpeningWait(holder, mSelf, mTiming));
  }
  mStanding.OnOwnSlots(mHome.OpenSlots());
}

void
fleet_budget::Probe(instant aNow)
{
  mProbeAt = aNow + mTiming.mProbeInterval;
  std::set<instance_id> peers;
  bool isHolder = false;
  for (auto const& [slot, holder] : mSlots.Holders()) {
    isHolder = isHolder || holder.mInstance == mSelf.mInstance;
    peers.insert(holder.mInstance);
    if (mRelease.IsWaiting())
      peers.insert(holder.mFormer.begin(), holder.mFormer.end());
  }
  // Only holders lend and vote. In a large fleet the probes of all others
  // would cost each holder more than all the rest of its control traffic.
  if (!isHolder)
    return;
  peers.erase(mSelf.mInstance);
  quorum_probe const probe{ .mFrom = mSelf, .mSentAt = aNow };
  for (instance_id const& peer : peers)
    mOutbox.push_back({ .mTo = peer, .mMessage = probe });
  mRelease.OnWord(Word(aNow, probe));
}

quorum_answer
fleet_budget::Word(instant aNow, quorum_probe const& aProbe) const
{
  quorum_answer word{ .mFrom = mSelf,
                      .mTo = aProbe.mFrom,
                      .mProbeSentAt = aProbe.mSentAt,
                      .mFolded = mFolded,
                      .mSilent = mWatch.Silent(aNow, mSlots) };
  if (mStanding.At(aNow) == lending_state::Granted)
    word.mSlots = mHome.OpenSlots();
  std::erase(word.mSilent, mSelf.mInstance);
  return word;
}

void
fleet_budget::Handle(instant aNow, token_request const& aMessage)
{
  mWatch.OnHeard(aNow, aMessage.mFrom.mInstance);
  lending_state const permission = mStanding.At(aNow);
  if (permission == lending_state::Withheld)
    ++mCounters.mRequestsWithheld;
  mHome.OnRequest(aNow, permission, aMessage);
}

void
fleet_budget::Handle(instant aNow, token_grant const& aMessage)
{
  mBorrower.OnGrant(aNow, aMessage, mSlots);
}

void
fleet_budget::Handle(instant aNow, token_refund const& aMessage)
{
  mCounters.mTokensRefunded += mHome.OnRefund(aNow, aMessage);
}

void
fleet_budget::Handle(instant aNow, token_report const& aMessage)
{
  mHome.OnReport(aNow, aMessage);
}

void
fleet_budget::Handle(instant aNow, quorum_probe const& aMessage)
{
  mWatch.OnHeard(aNow, aMessage.mFrom.mInstance);
  mOutbox.push_back(
    { .mTo = aMessage.mFrom.mInstance, .mMessage = Word(aNow, aMessage) });
}

void
fleet_budget::Handle(instant aNow, quorum_answer const& aMessage)
{
  if (aMessage.mTo != mSelf)
    return;
  mWatch.OnHeard(aNow, aMessage.mFrom.mInstance);
  // A peer that has folded more shows that the log is not out for all: this
  // instance must catch up before it lends on the strength of the contact.
  if (aMessage.mFolded <= mFolded)
    mStanding.OnWord(aNow, aMessage);
  mRelease.OnWord(aMessage);
}

}

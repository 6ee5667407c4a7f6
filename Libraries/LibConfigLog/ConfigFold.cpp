#include <LibConfigLog/ConfigFold.h>
#include <LibConfigLog/ProposalCheck.h>
#include <LibConfigLog/RowChanges.h>

#include <algorithm>
#include <cassert>
#include <utility>
#include <variant>

namespace lycheeseam {

void
config_fold::Apply(log_entry const& aEntry)
{
  assert(aEntry.mOffset > mState.mTables.mOffset);
  ForgetOldOutcomes(aEntry.mOffset);
  if (config_proposal const* proposal =
        std::get_if<config_proposal>(&aEntry.mRecord))
    ApplyProposal(*proposal, aEntry.mOffset);
  mState.mTables.mOffset = aEntry.mOffset;
}

proposal_outcome const*
config_fold::FindOutcome(proposal_id const& aProposal) const
{
  auto const found =
    std::ranges::find(mState.mRecent, aProposal, &proposal_outcome::mProposal);
  return found == mState.mRecent.end() ? nullptr : &*found;
}

void
config_fold::ApplyProposal(config_proposal const& aProposal, log_offset aOffset)
{
  // Beyond its last offset it doesn't count, and isn't remembered either: it
  // may be the double of one whose outcome has been forgotten.
  if (aOffset > aProposal.mOrigin.mLastOffset)
    return;
  // An append may land twice; the first landing decided it.
  if (FindOutcome(aProposal.mOrigin.mProposal))
    return;
  Remember(Decide(aProposal, aOffset));
}

proposal_outcome
config_fold::Decide(config_proposal const& aProposal, log_offset aOffset)
{
  proposal_outcome outcome{ .mProposal = aProposal.mOrigin.mProposal,
                            .mOffset = aOffset,
                            .mLastOffset = aProposal.mOrigin.mLastOffset };
  outcome.mFaults = CheckProposal(aProposal, aOffset);
  if (!outcome.mFaults.empty())
    return outcome;

  outcome.mConflicts = FindConflicts(mState.mTables, aProposal.mChanges);
  if (!outcome.mConflicts.empty()) {
    outcome.mStatus = proposal_status::Conflict;
    return outcome;
  }

  // All rows change or none: the rules look at the tables as they would be.
  config_tables next = mState.mTables;
  WriteRows(next, aProposal.mChanges, row_version{ aOffset.Value() });
  outcome.mFaults = CheckChangedTables(next, aProposal.mChanges);
  if (!outcome.mFaults.empty())
    return outcome;

  outcome.mStatus = proposal_status::Accepted;
  mState.mTables = std::move(next);
  return outcome;
}

void
config_fold::Remember(proposal_outcome aOutcome)
{
  auto const place = std::ranges::upper_bound(
    mState.mRecent, aOutcome.mLastOffset, {}, &proposal_outcome::mLastOffset);
  mState.mRecent.insert(place, std::move(aOutcome));
}

void
config_fold::ForgetOldOutcomes(log_offset aOffset)
{
  // A double of an older proposal is past its last offset.
  auto const isOld = [aOffset](proposal_outcome const& aOutcome) {
    return aOutcome.mLastOffset.Value() + kOutcomeMemory < aOffset.Value();
  };
  while (!mState.mRecent.empty() && isOld(mState.mRecent.front()))
    mState.mRecent.pop_front();
}

}

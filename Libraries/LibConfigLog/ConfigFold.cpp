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
  if (auto const* proposal = std::get_if<config_proposal>(&aEntry.mRecord))
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
  // An append may land twice; the first landing decided it.
  if (FindOutcome(aProposal.mOrigin.mProposal))
    return;
  proposal_outcome outcome{ .mProposal = aProposal.mOrigin.mProposal,
                            .mOffset = aOffset };
  outcome.mFaults = CheckProposal(aProposal, aOffset);
  if (outcome.mFaults.empty())
    outcome.mConflicts = FindConflicts(mState.mTables, aProposal.mChanges);
  if (!outcome.mConflicts.empty())
    outcome.mStatus = proposal_status::Conflict;

  if (outcome.mFaults.empty() && outcome.mConflicts.empty()) {
    // All rows change or none: the rules look at the tables as they would be.
    config_tables next = mState.mTables;
    WriteRows(next, aProposal.mChanges, row_version{ aOffset.Value() });
    outcome.mFaults = CheckChangedTables(next, aProposal.mChanges);
    if (outcome.mFaults.empty()) {
      outcome.mStatus = proposal_status::Accepted;
      mState.mTables = std::move(next);
    }
  }
  mState.mRecent.push_back(std::move(outcome));
}

void
config_fold::ForgetOldOutcomes(log_offset aOffset)
{
  // A double of an older proposal is past its last offset and refused.
  auto const isOld = [aOffset](proposal_outcome const& aOutcome) {
    return aOutcome.mOffset.Value() + kLongestWindow < aOffset.Value();
  };
  while (!mState.mRecent.empty() && isOld(mState.mRecent.front()))
    mState.mRecent.pop_front();
}

}

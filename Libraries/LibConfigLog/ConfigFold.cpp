#include <LibConfigLog/ConfigFold.h>
#include <LibConfigLog/ProposalCheck.h>
#include <LibConfigLog/RowChanges.h>
#include <LibCore/Verify.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace lycheeseam {

void
config_fold::Apply(log_entry const& aEntry)
{
  VERIFY(aEntry.mOffset > mState.mTables.mOffset);
  DiscardOldOutcomes(aEntry.mOffset);
  if (config_proposal const* proposal =
        std::get_if<config_proposal>(&aEntry.mRecord))
    ApplyProposal(*proposal, aEntry.mOffset);
  mState.mTables.mOffset = aEntry.mOffset;
}

proposal_outcome const*
config_fold::FindOutcome(proposal_id const& aProposal) const
{
  auto const found = std::ranges::find(
    mState.mRecentOutcomes, aProposal, &proposal_outcome::mProposal);
  return found == mState.mRecentOutcomes.end() ? nullptr : &*found;
}

void
config_fold::ApplyProposal(config_proposal const& aProposal, log_offset aOffset)
{
  // A proposal past its last offset is ignored and gets no outcome: it may be
  // a duplicate of one whose outcome has been discarded.
  if (aOffset > aProposal.mOrigin.mLastOffset)
    return;
  // A retried append may enter the log twice; the first entry decides.
  if (FindOutcome(aProposal.mOrigin.mProposal))
    return;
  KeepOutcome(Decide(aProposal, aOffset));
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

  // All rows change or none, so the rules are checked on a changed copy of the
  // tables.
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
config_fold::KeepOutcome(proposal_outcome aOutcome)
{
  auto const position =
    std::ranges::upper_bound(mState.mRecentOutcomes,
                             aOutcome.mLastOffset,
                             {},
                             &proposal_outcome::mLastOffset);
  mState.mRecentOutcomes.insert(position, std::move(aOutcome));
}

void
config_fold::DiscardOldOutcomes(log_offset aOffset)
{
  // A later duplicate of a proposal whose outcome is discarded here is past
  // its last offset, so it is ignored.
  auto const isExpired = [aOffset](proposal_outcome const& aOutcome) {
    return aOutcome.mLastOffset.Value() + kOutcomeRetention < aOffset.Value();
  };
  while (!mState.mRecentOutcomes.empty() &&
         isExpired(mState.mRecentOutcomes.front()))
    mState.mRecentOutcomes.pop_front();
}

}

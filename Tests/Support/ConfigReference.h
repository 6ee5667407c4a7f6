#pragma once

#include <LibConfigLog/ConfigFold.h>
#include <LibRecords/OriginOf.h>

#include <map>
#include <vector>

namespace lycheeseam {

/// The expected tables and outcomes: the fold over all records that were ever
/// appended to the log, with the tables at every offset.
class config_reference
{
public:
  void Add(log_entry const& aEntry)
  {
    mFold.Apply(aEntry);
    mTables.push_back(mFold.Tables());
    proposal_id const proposal = OriginOf(aEntry.mRecord).mProposal;
    if (proposal_outcome const* outcome = mFold.FindOutcome(proposal))
      mOutcomes.emplace(proposal, *outcome);
  }

  /// The tables after the entry at an offset, which is at least 1.
  [[nodiscard]] config_tables const& At(log_offset aOffset) const
  {
    return mTables.at(aOffset.Value() - 1);
  }

  /// The outcome of each proposal that was appended.
  [[nodiscard]] std::map<proposal_id, proposal_outcome> const& Outcomes() const
  {
    return mOutcomes;
  }

private:
  config_fold mFold;
  std::vector<config_tables> mTables;
  std::map<proposal_id, proposal_outcome> mOutcomes;
};

}

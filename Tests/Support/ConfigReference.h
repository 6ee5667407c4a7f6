#pragma once

#include <LibConfigLog/ConfigFold.h>
#include <LibRecords/OriginOf.h>

#include <map>
#include <vector>

namespace lycheeseam {

/// The truth: the fold over everything that ever landed, at every offset.
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

  /// The tables as of an offset from 1 on.
  [[nodiscard]] config_tables const& At(log_offset aOffset) const
  {
    return mTables.at(aOffset.Value() - 1);
  }

  /// What became of each proposal that landed.
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

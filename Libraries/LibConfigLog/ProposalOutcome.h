#pragma once

#include <LibConfigLog/ConfigFault.h>
#include <LibConfigLog/ProposalStatus.h>
#include <LibConfigLog/RowConflict.h>
#include <LibRecords/ProposalId.h>

#include <vector>

namespace lycheeseam {

/// The definite end of a proposal, the same on every instance.
struct proposal_outcome
{
  proposal_id mProposal;
  /// Where it landed; the version of the rows that it wrote.
  log_offset mOffset;
  proposal_status mStatus = proposal_status::Refused;
  std::vector<row_conflict> mConflicts;
  std::vector<config_fault> mFaults;

  bool operator==(proposal_outcome const&) const = default;
};

}

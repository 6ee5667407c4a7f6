#pragma once

#include <LibConfigLog/ConfigFault.h>
#include <LibConfigLog/ProposalStatus.h>
#include <LibConfigLog/RowConflict.h>
#include <LibRecords/ProposalId.h>

#include <vector>

namespace lycheeseam {

/// The final result of a proposal, the same on every instance.
struct proposal_outcome
{
  proposal_id mProposal;
  /// The proposal's offset in the log, which is the version of the rows that
  /// it wrote.
  log_offset mOffset;
  /// Entries of the same proposal past this offset are ignored.
  log_offset mLastOffset;
  proposal_status mStatus = proposal_status::Refused;
  std::vector<row_conflict> mConflicts;
  std::vector<config_fault> mFaults;

  bool operator==(proposal_outcome const&) const = default;
};

}

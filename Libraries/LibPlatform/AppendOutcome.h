#pragma once

#include <LibCore/Identifiers.h>
#include <LibPlatform/AppendEnd.h>
#include <LibRecords/ProposalId.h>

namespace lycheeseam {

/// A submitted record's id with its final outcome.
struct append_outcome
{
  proposal_id mProposal;
  append_end mEnd = append_end::NotApplied;
  /// The offset of the applied entry; 0 unless it was applied.
  log_offset mOffset;

  bool operator==(append_outcome const&) const = default;
};

}

#pragma once

#include <LibCore/Identifiers.h>
#include <LibPlatform/AppendEnd.h>
#include <LibRecords/ProposalId.h>

namespace lycheeseam {

/// What became of a submitted record.
struct append_outcome
{
  proposal_id mProposal;
  append_end mEnd = append_end::NotLanded;
  /// Where it landed; 0 unless it did.
  log_offset mOffset;

  bool operator==(append_outcome const&) const = default;
};

}

#pragma once

#include <LibCore/Identifiers.h>
#include <LibRecords/ProposalId.h>

namespace lycheeseam {

/// Who appended a record, and until when it counts.
struct record_origin
{
  proposal_id mProposal;
  instance_id mInstance;
  incarnation mIncarnation;
  /// The fold refuses the record beyond this offset, so that an append whose
  /// answer was lost has a definite end.
  log_offset mLastOffset;

  bool operator==(record_origin const&) const = default;
};

}

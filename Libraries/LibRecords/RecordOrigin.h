#pragma once

#include <LibCore/Identifiers.h>
#include <LibRecords/ProposalId.h>

namespace lycheeseam {

/// Who appended a record, and the last offset at which it is valid.
struct record_origin
{
  proposal_id mProposal;
  instance_id mInstance;
  incarnation mIncarnation;
  /// Folds ignore the record past this offset, so that an append whose answer
  /// was lost either takes effect by then or never.
  log_offset mLastOffset;

  bool operator==(record_origin const&) const = default;
};

}

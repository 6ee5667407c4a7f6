#pragma once

#include <LibCore/Identifiers.h>
#include <LibRecords/SlotId.h>

namespace lycheeseam {

/// Returns to their lender the charged tokens that a request did not use. It is
/// sent once and never retried; the lender ignores it when the slot has been
/// claimed again since.
struct token_refund
{
  workspace_id mWorkspace;
  slot_id mSlot;
  log_offset mClaim;
  token_count mTokens = 0;

  bool operator==(token_refund const&) const = default;
};

}

#pragma once

#include <LibCore/Identifiers.h>
#include <LibRecords/SlotId.h>

namespace lycheeseam {

/// Gives charged tokens that a request did not use back to their home. It is
/// sent once and never repeated; the home drops it when the slot was claimed
/// anew.
struct token_refund
{
  workspace_id mWorkspace;
  slot_id mSlot;
  log_offset mClaim;
  token_count mTokens = 0;

  bool operator==(token_refund const&) const = default;
};

}

#pragma once

#include <LibCore/Identifiers.h>
#include <LibLimits/LoanSpend.h>
#include <LibRecords/SlotId.h>

#include <vector>

namespace lycheeseam {

/// Reports spent loans to their lender, so that they stop counting against its
/// burst before they expire. A lost report only delays that.
struct token_report
{
  workspace_id mWorkspace;
  slot_id mSlot;
  log_offset mClaim;
  std::vector<loan_spend> mSpent;

  bool operator==(token_report const&) const = default;
};

}

#pragma once

#include <LibCore/Identifiers.h>
#include <LibLimits/LoanId.h>
#include <LibRecords/SlotId.h>

namespace lycheeseam {

/// The tokens of one loan that cover a charge or a part of it.
struct charge_part
{
  slot_id mSlot;
  log_offset mClaim;
  loan_id mLoan;
  token_count mTokens = 0;

  bool operator==(charge_part const&) const = default;
};

}

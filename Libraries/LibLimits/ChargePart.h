#pragma once

#include <LibCore/Identifiers.h>
#include <LibLimits/LoanId.h>
#include <LibRecords/SlotId.h>

namespace lycheeseam {

/// Tokens of one charge that one loan paid.
struct charge_part
{
  slot_id mSlot;
  log_offset mClaim;
  loan_id mLoan;
  token_count mTokens = 0;

  bool operator==(charge_part const&) const = default;
};

}

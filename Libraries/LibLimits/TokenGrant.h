#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/InstanceIdentity.h>
#include <LibLimits/GrantResult.h>
#include <LibLimits/LoanId.h>
#include <LibRecords/SlotId.h>

#include <cstdint>

namespace lycheeseam {

/// A lender's answer to a token request.
struct token_grant
{
  instance_identity mTo;
  std::uint64_t mSequence = 0;
  workspace_id mWorkspace;
  slot_id mSlot;
  grant_result mResult = grant_result::NotHolder;
  /// The lender's claim of the slot; refunds and reports repeat it.
  log_offset mClaim;
  /// Set when the result is Lent.
  loan_id mLoan;
  token_count mTokens = 0;
  /// The lender's balance less the tokens of queued requests; may be negative.
  token_count mLeft = 0;

  bool operator==(token_grant const&) const = default;
};

}

#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/InstanceIdentity.h>
#include <LibLimits/GrantResult.h>
#include <LibLimits/LoanId.h>
#include <LibRecords/SlotId.h>

#include <cstdint>

namespace lycheeseam {

/// A home's answer to a token request.
struct token_grant
{
  instance_identity mTo;
  std::uint64_t mSequence = 0;
  workspace_id mWorkspace;
  slot_id mSlot;
  grant_result mResult = grant_result::NotHolder;
  /// The home's claim of the slot; refunds and reports name it.
  log_offset mClaim;
  /// Set when the result is Lent.
  loan_id mLoan;
  token_count mTokens = 0;
  /// The home's balance less what waits for it; below zero when asks queue.
  token_count mLeft = 0;

  bool operator==(token_grant const&) const = default;
};

}

#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
#include <LibLimits/ChargeId.h>

namespace lycheeseam {

/// Asks to charge a request to its workspace before it may run.
struct charge_request
{
  charge_id mCharge;
  workspace_id mWorkspace;
  /// The prompt and the largest answer.
  token_count mTokens = 0;
  /// Until when the request may wait for tokens.
  instant mDeadline;

  bool operator==(charge_request const&) const = default;
};

}

#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
#include <LibLimits/ChargeId.h>

namespace lycheeseam {

/// A request's charge to its workspace, to be admitted before the request runs.
struct charge_request
{
  charge_id mCharge;
  workspace_id mWorkspace;
  /// The tokens of the prompt and of the longest possible answer.
  token_count mTokens = 0;
  /// When the request stops waiting for tokens.
  instant mDeadline;

  bool operator==(charge_request const&) const = default;
};

}

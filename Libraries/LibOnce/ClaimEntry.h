#pragma once

#include <LibCore/Digest.h>
#include <LibOnce/ClaimIdentity.h>
#include <LibRecords/RequestOutcome.h>

#include <optional>

namespace lycheeseam {

/// The claim that gives its owner the right to run a request, and the outcome.
struct claim_entry
{
  claim_identity mClaim;
  digest mFingerprint;
  log_offset mOffset;
  /// Empty while the request runs, or when its owner ended without an outcome.
  std::optional<request_outcome> mOutcome;

  bool operator==(claim_entry const&) const = default;
};

}

#pragma once

#include <LibCore/Digest.h>
#include <LibOnce/ClaimIdentity.h>
#include <LibRecords/RequestOutcome.h>

#include <optional>

namespace lycheeseam {

/// The claim that has the right to run a request, and how it ended.
struct claim_entry
{
  claim_identity mClaim;
  digest mFingerprint;
  log_offset mOffset;
  /// Nothing while the request runs, or when its owner died.
  std::optional<request_outcome> mOutcome;

  bool operator==(claim_entry const&) const = default;
};

}

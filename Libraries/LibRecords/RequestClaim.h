#pragma once

#include <LibCore/Digest.h>
#include <LibRecords/ClaimNumber.h>
#include <LibRecords/RequestKey.h>

namespace lycheeseam {

/// Claims the right to run one request. Of several claims for the same key, the
/// first in log order gets it.
struct request_claim
{
  request_key mKey;
  /// The digest of method, path and body. A request that reuses the key with
  /// another fingerprint is refused.
  digest mFingerprint;
  /// Unique among the claims of the batch's instance and incarnation.
  claim_number mNumber;

  bool operator==(request_claim const&) const = default;
};

}

#pragma once

#include <LibRecords/RecordOrigin.h>
#include <LibRecords/RequestClaim.h>

#include <vector>

namespace lycheeseam {

/// A log record with one or more claims of one instance, which share an append.
struct request_claim_batch
{
  record_origin mOrigin;
  std::vector<request_claim> mClaims;

  bool operator==(request_claim_batch const&) const = default;
};

}

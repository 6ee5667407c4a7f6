#pragma once

#include <LibCore/Verdict.h>
#include <LibRecords/ClaimNumber.h>
#include <LibRecords/RequestKey.h>

#include <cstdint>
#include <string>

namespace lycheeseam {

/// How a claimed request ended. NotRun releases the claim, also when the
/// claim itself lands later.
struct request_outcome
{
  request_key mKey;
  /// The claim that ended; the batch names its instance and incarnation.
  claim_number mNumber;
  verdict mVerdict = verdict::MayHaveRun;
  /// The backend server's HTTP status; 0 unless the verdict is Ran.
  std::uint16_t mStatus = 0;
  std::string mContentType;
  /// The answer that a repeat gets; empty when it was too large to keep.
  std::string mBody;

  bool operator==(request_outcome const&) const = default;
};

}

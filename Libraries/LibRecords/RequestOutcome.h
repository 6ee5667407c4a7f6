#pragma once

#include <LibCore/Verdict.h>
#include <LibRecords/ClaimNumber.h>
#include <LibRecords/RequestKey.h>

#include <cstdint>
#include <string>

namespace lycheeseam {

/// The end of a claimed request. The verdict NotRun releases the claim, also
/// when the claim itself enters the log later.
struct request_outcome
{
  request_key mKey;
  /// The number of the claim that ended. Its instance and incarnation are those
  /// of the batch's origin.
  claim_number mNumber;
  verdict mVerdict = verdict::MayHaveRun;
  /// The backend server's HTTP status; 0 unless the verdict is Ran.
  std::uint16_t mStatus = 0;
  std::string mContentType;
  /// The body that a repeat of the request gets; empty when it was too large to
  /// keep.
  std::string mBody;

  bool operator==(request_outcome const&) const = default;
};

}

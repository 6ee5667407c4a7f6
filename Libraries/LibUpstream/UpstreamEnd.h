#pragma once

#include <LibCore/Instant.h>
#include <LibCore/Verdict.h>
#include <LibRequest/AttemptNumber.h>
#include <LibRequest/CallNumber.h>
#include <LibRequest/TokenUsage.h>
#include <LibUpstream/TransferFailure.h>

#include <cstdint>
#include <optional>
#include <string>

namespace lycheeseam {

/// How an attempt ended.
struct upstream_end
{
  call_number mCall;
  attempt_number mAttempt;
  transfer_failure mFailure = transfer_failure::None;
  verdict mVerdict = verdict::Ran;
  /// The backend server's status; 0 when no head came.
  std::uint16_t mStatus = 0;
  std::string mContentType;
  /// The answer, unless its pieces were passed on while they came in.
  std::string mBody;
  /// Bytes already passed on; after the first one nothing can be retried
  /// without resuming.
  std::uint64_t mForwardedBytes = 0;
  /// Events of an event stream already passed on.
  std::uint64_t mForwardedEvents = 0;
  std::optional<token_usage> mUsage;
  /// When the answer's first byte came; nothing when none did.
  std::optional<instant> mFirstByte;
  instant mEnd;
};

}

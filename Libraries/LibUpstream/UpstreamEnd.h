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

/// How an attempt ended, with its answer or the rest of it.
struct upstream_end
{
  call_number mCall;
  attempt_number mAttempt;
  transfer_failure mFailure = transfer_failure::None;
  verdict mVerdict = verdict::Ran;
  /// The status of the backend server's answer; 0 when no head arrived.
  std::uint16_t mStatus = 0;
  std::string mContentType;
  /// The answer's body, without what was forwarded in pieces.
  std::string mBody;
  /// Bytes already forwarded; once there are any, the call can only be resumed,
  /// not retried from the start.
  std::uint64_t mForwardedBytes = 0;
  /// Events of an event stream already forwarded.
  std::uint64_t mForwardedEvents = 0;
  /// The events forwarded, when event_recording was on.
  std::string mRecorded;
  std::optional<token_usage> mUsage;
  /// When the answer's first byte arrived; nothing when none did.
  std::optional<instant> mFirstByte;
  instant mEnd;
};

}

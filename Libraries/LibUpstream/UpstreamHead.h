#pragma once

#include <LibRequest/AttemptNumber.h>
#include <LibRequest/CallNumber.h>

#include <cstdint>
#include <string>

namespace lycheeseam {

/// The status and content type of an answer that is forwarded in pieces.
struct upstream_head
{
  call_number mCall;
  attempt_number mAttempt;
  std::uint16_t mStatus = 0;
  std::string mContentType;
};

}

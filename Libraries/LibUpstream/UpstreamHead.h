#pragma once

#include <LibRequest/AttemptNumber.h>
#include <LibRequest/CallNumber.h>

#include <cstdint>
#include <string>

namespace lycheeseam {

/// The beginning of an answer that is passed on while it comes in.
struct upstream_head
{
  call_number mCall;
  attempt_number mAttempt;
  std::uint16_t mStatus = 0;
  std::string mContentType;
};

}

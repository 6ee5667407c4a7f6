#pragma once

#include <LibRequest/AttemptNumber.h>
#include <LibRequest/CallNumber.h>

#include <string>

namespace lycheeseam {

/// The next bytes of an answer that is forwarded in pieces.
struct upstream_piece
{
  call_number mCall;
  attempt_number mAttempt;
  std::string mBytes;
};

}

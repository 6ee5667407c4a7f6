#pragma once

#include <LibRequest/AttemptNumber.h>
#include <LibRequest/CallNumber.h>

#include <string>

namespace lycheeseam {

/// The next bytes of an answer that is passed on while it comes in.
struct upstream_piece
{
  call_number mCall;
  attempt_number mAttempt;
  std::string mBytes;
};

}

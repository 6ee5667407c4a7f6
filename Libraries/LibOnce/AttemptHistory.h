#pragma once

#include <LibConfig/Idempotency.h>
#include <LibOnce/AttemptFailure.h>

#include <cstdint>

namespace lycheeseam {

/// The attempts of a request so far, when one of them has just failed.
struct attempt_history
{
  idempotency mIdempotency = idempotency::NonIdempotent;
  attempt_failure mFailure = attempt_failure::BrokenBeforeAnswer;
  /// Attempts of which no byte was sent, including the failed one.
  std::uint32_t mUnsent = 0;
  /// Attempts that the server may have run, including the failed one.
  std::uint32_t mSent = 0;
};

}

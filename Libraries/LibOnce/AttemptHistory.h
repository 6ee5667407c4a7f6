#pragma once

#include <LibConfig/Idempotency.h>
#include <LibOnce/AttemptFailure.h>

#include <cstdint>

namespace lycheeseam {

/// What is known of a request when one of its attempts has failed.
struct attempt_history
{
  idempotency mIdempotency = idempotency::NonIdempotent;
  attempt_failure mFailure = attempt_failure::BrokenBeforeAnswer;
  /// Attempts of which no byte was sent, this one included.
  std::uint32_t mUnsent = 0;
  /// Attempts that may have run, this one included.
  std::uint32_t mSent = 0;
};

}

#pragma once

#include <LibCore/Instant.h>

#include <cstdint>

namespace lycheeseam {

/// How leases are taken and kept.
struct lease_timing
{
  /// How long a lease lasts, from before its grant was appended.
  std::chrono::milliseconds mTerm{ 6'000 };
  /// How long before its end a holder stops giving orders: the time that an
  /// order may be on its way, and the drift of two clocks.
  duration mMargin = std::chrono::milliseconds{ 500 };
  /// How long an append may be on its way until it is tried again.
  duration mAppendPause = std::chrono::seconds{ 1 };
  /// How much longer each further candidate waits.
  duration mRankDelay = std::chrono::seconds{ 1 };
  /// How many further entries of the log a grant counts for.
  std::uint64_t mGrantOffsets = 1'000;
};

}

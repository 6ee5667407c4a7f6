#pragma once

#include <LibCore/Instant.h>

#include <cstdint>

namespace lycheeseam {

/// How leases are acquired and renewed.
struct lease_timing
{
  /// How long a lease lasts. Its holder counts from before it appended the
  /// grant, the other candidates from when they read it.
  std::chrono::milliseconds mTerm{ 6'000 };
  /// How long before the end of the lease its holder stops giving orders. It
  /// covers the delivery time of an order and the drift between two clocks.
  duration mMargin = std::chrono::milliseconds{ 500 };
  /// The time after which another grant is appended if one was not read back.
  duration mAppendPause = std::chrono::seconds{ 1 };
  /// The additional wait of a candidate for each candidate before it.
  duration mRankDelay = std::chrono::seconds{ 1 };
  /// A grant that lands more than this many entries after the newest known
  /// offset is ignored.
  std::uint64_t mGrantOffsets = 1'000;
};

}

#pragma once

#include <LibCore/Instant.h>

#include <cstdint>

namespace lycheeseam {

/// Time limits for claiming slots.
struct takeover_timing
{
  /// How long a holder must be missing from the platform's list before others
  /// claim its slots.
  duration mMissingDelay = std::chrono::seconds{ 5 };
  /// How long an instance waits, from when it first received the list, before
  /// it claims free slots. Instances that start together thus divide the slots,
  /// and the failure of one later costs only its own share of the rate.
  duration mFirstClaimDelay = std::chrono::seconds{ 1 };
  /// How much longer an instance waits before it claims a free slot for each
  /// slot that it has already claimed. The platform's list shows instances that
  /// start at the same time only after a delay, so that the first one would
  /// otherwise claim all slots.
  duration mNextClaimDelay = std::chrono::milliseconds{ 500 };
  /// How long an instance without a slot waits, from when it first received the
  /// list, before it takes one from a holder of several.
  duration mRebalanceDelay = std::chrono::seconds{ 15 };
  /// How much longer each lower-ranked candidate waits before it claims.
  duration mRankDelay = std::chrono::milliseconds{ 500 };
  /// How long a claim may be pending before it is appended again.
  duration mClaimRetryDelay = std::chrono::seconds{ 2 };
  /// A claim is void when it is appended more than this many log entries after
  /// the tail known to its instance.
  std::uint64_t mClaimWindow = 5000;
};

}

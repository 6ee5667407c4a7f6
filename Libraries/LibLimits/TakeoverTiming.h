#pragma once

#include <LibCore/Instant.h>

#include <cstdint>

namespace lycheeseam {

/// When a slot is claimed anew.
struct takeover_timing
{
  /// How long the holder must be off the platform's list.
  duration mAbsence = std::chrono::seconds{ 5 };
  /// How long an instance without a slot waits, from when it first saw the
  /// list, until it takes one from a holder of several.
  duration mRebalanceAfter = std::chrono::seconds{ 15 };
  /// How much longer each further candidate waits before it claims too.
  duration mRankDelay = std::chrono::milliseconds{ 500 };
  /// How long an append may be on its way until it is tried again.
  duration mClaimPause = std::chrono::seconds{ 2 };
  /// How many further entries of the log a claim counts for.
  std::uint64_t mClaimWindow = 5000;
};

}

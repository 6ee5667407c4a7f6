#pragma once

#include <LibCore/Instant.h>

#include <chrono>
#include <cstdint>

namespace lycheeseam {

/// Parameters that decide what is within a workspace's rate and burst.
struct quota_parameters
{
  /// Length of the sliding window that the limit applies to.
  duration mWindow = std::chrono::seconds{ 8 };
  /// How far a window may exceed rate and burst, as a part of these.
  double mOvershoot = 0;
  /// Units that a window may hold in addition.
  double mSlackUnits = 0;
  /// The same two for resumptions of streams, which were admitted before.
  double mResumptionOvershoot = 0;
  double mResumptionSlackUnits = 0;
  /// Seeds the random sampling near the limit. Each instance needs its own
  /// seed, otherwise all make the same decisions.
  std::uint32_t mSeed = 1;
};

}

#pragma once

#include <LibCore/Instant.h>

#include <chrono>
#include <cstdint>

namespace lycheeseam {

/// What counts as within a workspace's rate and burst.
struct quota_parameters
{
  /// Any span of this length is held against the limit.
  duration mWindow = std::chrono::seconds{ 8 };
  /// The part of rate and burst that a window may hold beyond them.
  double mOvershoot = 0;
  /// Units that a window may hold besides.
  double mSlackUnits = 0;
  /// Of the draws near the limit; instances with one seed would all draw alike.
  std::uint32_t mSeed = 1;
};

}

#pragma once

#include <chrono>
#include <cstdint>

namespace lycheeseam {

/// When an instance appends a checkpoint.
struct checkpoint_options
{
  /// How many offsets a checkpoint may be behind.
  std::uint64_t mInterval = 2000;
  /// How old the newest checkpoint may be: also an idle log forgets.
  std::chrono::milliseconds mLongestAge{ 600'000 };
  /// The time over which instances spread, so that mostly one appends.
  std::chrono::milliseconds mSpread{ 5000 };
};

}

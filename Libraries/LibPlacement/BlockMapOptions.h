#pragma once

#include <LibCore/Instant.h>

#include <chrono>
#include <cstddef>

namespace lycheeseam {

/// Bounds of a block_map.
struct block_map_options
{
  /// Entries meant to fit; 24 to 26 bytes each.
  std::size_t mEntries = 424'000;
  /// The first guess of how long engines keep an unused block. Too long a guess
  /// corrects itself by each miss; too short a one is never put to the test.
  duration mFirstRetention = std::chrono::seconds{ 150 };
  duration mShortestRetention = std::chrono::seconds{ 1 };
  duration mLongestRetention = std::chrono::minutes{ 5 };
  /// Events of a stream that was silent for longer aren't relied on.
  duration mLongestSilence = std::chrono::seconds{ 5 };
};

}

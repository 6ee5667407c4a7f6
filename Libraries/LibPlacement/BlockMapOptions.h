#pragma once

#include <LibCore/Instant.h>

#include <chrono>
#include <cstddef>

namespace lycheeseam {

/// Size and time limits of block_map.
struct block_map_options
{
  /// The number of entries that should fit; 24 to 26 bytes each.
  std::size_t mEntries = 424'000;
  /// The initial estimate of how long engines keep an unused block. Misses
  /// correct an estimate that is too long; one that is too short is never
  /// tested.
  duration mInitialRetention = std::chrono::seconds{ 150 };
  duration mMinRetention = std::chrono::seconds{ 1 };
  duration mMaxRetention = std::chrono::minutes{ 5 };
  /// Events are ignored when their stream has delivered none for longer.
  duration mStreamTimeout = std::chrono::seconds{ 5 };
};

}

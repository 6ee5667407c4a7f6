#pragma once

#include <cstddef>

namespace lycheeseam::standin {

/// The load of an engine.
struct engine_load
{
  /// Sequences in the batch.
  std::size_t mRunning = 0;
  /// Sequences that wait for capacity in the batch.
  std::size_t mWaiting = 0;
  /// Blocks in the prefix cache.
  std::size_t mCachedBlocks = 0;

  bool operator==(engine_load const&) const = default;
};

}

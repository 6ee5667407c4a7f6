#pragma once

#include <LibCore/Identifiers.h>

#include <cstddef>

namespace lycheeseam::standin {

/// The speed and the capacity of a stand-in engine.
struct engine_settings
{
  /// Tokens per second of a stream that runs alone.
  double mTokensPerSecond = 50;
  /// The fraction of a step's time that each further stream adds.
  double mSlowdownPerStream = 0.02;
  /// Uncached prompt tokens per second; prefills run one after another.
  double mPrefillTokensPerSecond = 20000;
  /// The most streams that decode together; others wait by priority.
  std::size_t mMaxBatch = 64;
  /// The capacity of the prefix cache in blocks.
  std::size_t mCacheBlocks = 4096;
};

}

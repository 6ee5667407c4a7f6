#pragma once

#include <LibCore/Identifiers.h>

#include <cstddef>

namespace lycheeseam::standin {

/// How fast and how large a stand-in engine is.
struct engine_settings
{
  /// Tokens a second of a stream that has the engine to itself.
  double mTokensPerSecond = 50;
  /// What each further stream adds to the time of a step, as a fraction.
  double mSlowdownPerStream = 0.02;
  /// Uncached prompt tokens a second; prefills run one after another.
  double mPrefillTokensPerSecond = 20000;
  /// Streams that decode together; others wait by priority.
  std::size_t mMaxBatch = 64;
  /// Blocks that the prefix cache holds.
  std::size_t mCacheBlocks = 4096;
};

}

#pragma once

#include <LibCore/Instant.h>

#include <cstddef>
#include <cstdint>

namespace lycheeseam {

/// When claims and outcomes are appended.
struct batch_limits
{
  /// The longest that a claim or outcome waits for others.
  duration mDelay = std::chrono::milliseconds{ 20 };
  /// The most claims or outcomes in one record.
  std::size_t mMostEntries = 256;
  /// The most bytes of answers in one record.
  std::size_t mMostBytes = 256'000;
  /// The largest answer that is kept, in bytes.
  std::size_t mLargestBody = 4'096;
  /// How long outcomes that were not seen in the log wait for another try.
  duration mRetryAfter = std::chrono::seconds{ 1 };
  /// How many further entries of the log a claim counts for.
  std::uint64_t mClaimOffsets = 5'000;
};

}

#pragma once

#include <cstddef>
#include <cstdint>

namespace lycheeseam {

/// How long claims are kept, and how many. All instances must use the same
/// window, so that their folds agree.
struct claim_window
{
  /// The number of log entries after which a claim expires; far more than
  /// batch_limits::mClaimOffsets, the entries by which a claim may be delayed.
  std::uint64_t mOffsets = 100'000;
  /// The maximum number of claims; further claims are refused.
  std::size_t mMaxClaims = 100'000;
  /// The maximum total size of stored answers, in bytes. Beyond it the oldest
  /// answers are dropped, and a repeat of their request gets only the verdict.
  std::size_t mMaxTotalBodyBytes = 8'000'000;
};

}

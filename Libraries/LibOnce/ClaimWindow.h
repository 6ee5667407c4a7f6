#pragma once

#include <cstddef>
#include <cstdint>

namespace lycheeseam {

/// How long claims are remembered and how many. Every instance must run with
/// the same window, since the fold depends on it.
struct claim_window
{
  /// A claim is forgotten this many log entries after it landed; much more
  /// than an append may be late by.
  std::uint64_t mOffsets = 100'000;
  /// Claims remembered at once; a claim beyond this is refused.
  std::size_t mMostClaims = 100'000;
  /// Bytes of answers kept; beyond this the oldest answers are dropped, and
  /// their repeats get the verdict alone.
  std::size_t mMostBodyBytes = 8'000'000;
};

}

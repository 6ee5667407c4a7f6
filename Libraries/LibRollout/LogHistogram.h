#pragma once

#include <LibCore/Instant.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace lycheeseam {

/// Counts of durations in buckets whose bounds grow by the fourth root of 2,
/// from 2 ms to 28 s; four buckets are a factor of 2.
class log_histogram
{
public:
  static constexpr std::size_t kBuckets = 56;

  /// The bucket of a duration.
  [[nodiscard]] static std::size_t BucketOf(duration aTime);

  void Add(duration aTime) { ++mCounts[BucketOf(aTime)]; }

  /// How many durations are in a bucket or in one above it.
  [[nodiscard]] std::uint64_t AtLeast(std::size_t aBucket) const;

  /// The first bucket from which on there is no more than a part of all.
  [[nodiscard]] std::size_t BoundOf(double aPart) const;

  [[nodiscard]] std::uint64_t Total() const { return AtLeast(0); }

  log_histogram& operator+=(log_histogram const& aOther);
  bool operator==(log_histogram const&) const = default;

  /// For encoding.
  std::array<std::uint32_t, kBuckets> mCounts{};
};

}

#pragma once

#include <LibCore/Instant.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>

namespace lycheeseam {

/// Counts durations by size. Count and sum are exact; histograms of several
/// threads or instances can be merged exactly, since all have the same buckets.
class latency_histogram
{
public:
  /// The upper bound, inclusive, of each bucket but the last, which has none.
  /// The bounds cover both a lookup in a service and the longest prompt.
  static constexpr std::array<std::chrono::milliseconds, 14> kBounds{
    std::chrono::milliseconds{ 5 },      std::chrono::milliseconds{ 10 },
    std::chrono::milliseconds{ 25 },     std::chrono::milliseconds{ 50 },
    std::chrono::milliseconds{ 100 },    std::chrono::milliseconds{ 200 },
    std::chrono::milliseconds{ 400 },    std::chrono::milliseconds{ 600 },
    std::chrono::milliseconds{ 800 },    std::chrono::milliseconds{ 1'500 },
    std::chrono::milliseconds{ 3'000 },  std::chrono::milliseconds{ 6'000 },
    std::chrono::milliseconds{ 15'000 }, std::chrono::milliseconds{ 60'000 }
  };

  /// Adds a duration.
  void Add(duration aValue);

  /// Adds the counts of another histogram.
  void Merge(latency_histogram const& aOther);

  /// The number of durations in each bucket; the last has no upper bound.
  [[nodiscard]] std::span<std::uint64_t const> Buckets() const noexcept
  {
    return mBuckets;
  }
  [[nodiscard]] std::uint64_t Count() const noexcept { return mCount; }
  [[nodiscard]] duration Sum() const noexcept { return mSum; }

private:
  std::array<std::uint64_t, kBounds.size() + 1> mBuckets{};
  std::uint64_t mCount = 0;
  duration mSum{};
};

}

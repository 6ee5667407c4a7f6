#pragma once

#include <LibCore/Instant.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>

namespace lycheeseam {

/// Counts spans by size. Count and sum are exact; histograms of several
/// threads or instances add up without a loss.
class latency_histogram
{
public:
  /// The largest span of each bucket but the last, which is open. They cover a
  /// look-up in a service as well as the longest prompt.
  static constexpr std::array<std::chrono::milliseconds, 14> kBounds{
    std::chrono::milliseconds{ 5 },      std::chrono::milliseconds{ 10 },
    std::chrono::milliseconds{ 25 },     std::chrono::milliseconds{ 50 },
    std::chrono::milliseconds{ 100 },    std::chrono::milliseconds{ 200 },
    std::chrono::milliseconds{ 400 },    std::chrono::milliseconds{ 600 },
    std::chrono::milliseconds{ 800 },    std::chrono::milliseconds{ 1'500 },
    std::chrono::milliseconds{ 3'000 },  std::chrono::milliseconds{ 6'000 },
    std::chrono::milliseconds{ 15'000 }, std::chrono::milliseconds{ 60'000 }
  };

  /// Adds a span.
  void Add(duration aValue);

  /// Adds all that another histogram counted.
  void Merge(latency_histogram const& aOther);

  /// How many spans each bucket holds; the last is open.
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

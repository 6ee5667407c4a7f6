#pragma once

#include <LibCore/Instant.h>

#include <cstddef>
#include <cstdint>
#include <random>
#include <span>
#include <vector>

namespace lycheeseam {

/// The samples of one series since the last metrics_delta. Count and sum are
/// exact. Of the values, a uniform random sample is kept, so that merging a
/// busy series costs the control thread at most kReservoirSize values.
class latency_samples
{
public:
  static constexpr std::size_t kReservoirSize = 256;

  /// Adds a sample; aRandom decides which ones stay in a full reservoir.
  void Add(duration aValue, std::minstd_rand& aRandom);

  /// The number of samples added.
  [[nodiscard]] std::uint64_t Count() const noexcept { return mCount; }

  /// The sum of all samples added.
  [[nodiscard]] duration Sum() const noexcept { return mSum; }

  /// The samples that were kept, at most kReservoirSize.
  [[nodiscard]] std::span<duration const> Reservoir() const noexcept
  {
    return mReservoir;
  }

private:
  std::uint64_t mCount = 0;
  duration mSum{};
  std::vector<duration> mReservoir;
};

}

#pragma once

#include <LibCore/Instant.h>

#include <cstddef>
#include <cstdint>
#include <random>
#include <span>
#include <vector>

namespace lycheeseam {

/// The samples of one series since the last hand-over. Count and sum are
/// exact; of the values a uniform choice is kept, so that a busy series costs
/// its reader no more than kMaxKept samples.
class latency_samples
{
public:
  static constexpr std::size_t kMaxKept = 256;

  /// Adds a sample; aRandom decides which of many are kept.
  void Add(duration aValue, std::minstd_rand& aRandom);

  /// The number of samples added.
  [[nodiscard]] std::uint64_t Count() const noexcept { return mCount; }

  /// The sum of all samples added.
  [[nodiscard]] duration Sum() const noexcept { return mSum; }

  /// The samples that were kept.
  [[nodiscard]] std::span<duration const> Kept() const noexcept
  {
    return mKept;
  }

private:
  std::uint64_t mCount = 0;
  duration mSum{};
  std::vector<duration> mKept;
};

}

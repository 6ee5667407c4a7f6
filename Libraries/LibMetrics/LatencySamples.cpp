#include <LibMetrics/LatencySamples.h>

namespace lycheeseam {

void
latency_samples::Add(duration aValue, std::minstd_rand& aRandom)
{
  ++mCount;
  mSum += aValue;
  if (mReservoir.size() < kReservoirSize) {
    mReservoir.push_back(aValue);
    return;
  }
  // Reservoir sampling: each of the mCount samples has the same probability of
  // being kept.
  std::uniform_int_distribution<std::uint64_t> position{ 0, mCount - 1 };
  std::uint64_t const index = position(aRandom);
  if (index < kReservoirSize)
    mReservoir[index] = aValue;
}

}

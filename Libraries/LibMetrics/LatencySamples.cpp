#include <LibMetrics/LatencySamples.h>

namespace lycheeseam {

void
latency_samples::Add(duration aValue, std::minstd_rand& aRandom)
{
  ++mCount;
  mSum += aValue;
  if (mKept.size() < kMaxKept) {
    mKept.push_back(aValue);
    return;
  }
  // Reservoir sampling: each of the mCount samples is kept equally likely.
  std::uniform_int_distribution<std::uint64_t> place{ 0, mCount - 1 };
  std::uint64_t const chosen = place(aRandom);
  if (chosen < kMaxKept)
    mKept[chosen] = aValue;
}

}

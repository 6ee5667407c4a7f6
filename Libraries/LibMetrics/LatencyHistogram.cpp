#include <LibMetrics/LatencyHistogram.h>

#include <algorithm>

namespace lycheeseam {

void
latency_histogram::Add(duration aValue)
{
  auto const bound = std::lower_bound(kBounds.begin(), kBounds.end(), aValue);
  ++mBuckets[static_cast<std::size_t>(bound - kBounds.begin())];
  ++mCount;
  mSum += aValue;
}

void
latency_histogram::Merge(latency_histogram const& aOther)
{
  for (std::size_t index = 0; index < mBuckets.size(); ++index)
    mBuckets[index] += aOther.mBuckets[index];
  mCount += aOther.mCount;
  mSum += aOther.mSum;
}

}

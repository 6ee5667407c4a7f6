#include <LibRollout/LogHistogram.h>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace lycheeseam {

std::size_t
log_histogram::BucketOf(duration aTime)
{
  constexpr double kFirstBound = 2;
  double const milliseconds =
    std::chrono::duration<double, std::milli>(aTime).count();
  if (milliseconds < kFirstBound)
    return 0;
  double const quarterOctaves = 4 * std::log2(milliseconds / kFirstBound);
  return std::min(kBuckets - 1, static_cast<std::size_t>(quarterOctaves) + 1);
}

std::uint64_t
log_histogram::AtLeast(std::size_t aBucket) const
{
  std::uint64_t sum = 0;
  for (std::size_t i = aBucket; i < kBuckets; ++i)
    sum += mCounts.at(i);
  return sum;
}

std::size_t
log_histogram::BoundOf(double aPart) const
{
  double const most = aPart * static_cast<double>(Total());
  double beyond = 0;
  std::size_t bound = kBuckets;
  while (bound > 0) {
    beyond += mCounts.at(bound - 1);
    if (beyond > most)
      break;
    --bound;
  }
  return bound;
}

log_histogram&
log_histogram::operator+=(log_histogram const& aOther)
{
  for (std::size_t i = 0; i < kBuckets; ++i)
    mCounts.at(i) += aOther.mCounts.at(i);
  return *this;
}

}

#include <LibDispatch/PoolPace.h>

#include <bit>
#include <cstdint>

namespace lycheeseam {

namespace {

// All servers of the pool contribute, so that an average over about 50 answers
// follows its load within seconds.
constexpr double kWeight = 0.02;

// Sizes of a class differ by less than twice.
int
SizeClass(token_count aTokens)
{
  return static_cast<int>(std::bit_width(static_cast<std::uint64_t>(aTokens)));
}

}

void
pool_pace::Learn(speed_sample const& aSample, double aSpeed)
{
  double const pace = aSample.Pace() * aSpeed;
  if (pace <= 0)
    return;
  auto const [known, isNew] =
    mPaces.try_emplace(SizeClass(aSample.mTokens), pace);
  if (!isNew)
    known->second += kWeight * (pace - known->second);
}

double
pool_pace::Of(speed_sample const& aSample) const
{
  if (aSample.mTokens <= 0)
    return 0;
  auto const found = mPaces.find(SizeClass(aSample.mTokens));
  return found == mPaces.end() ? 0 : found->second;
}

}

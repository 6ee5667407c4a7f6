#include <LibMetrics/QuantileWindow.h>

#include <algorithm>
#include <array>

namespace lycheeseam {

namespace accumulators = boost::accumulators;

namespace {

// The additional probabilities around the reported ones make the quadratic
// interpolation more accurate.
constexpr std::array<double, 7> kProbabilities{ 0.25, 0.5,  0.75, 0.9,
                                                0.95, 0.99, 0.999 };

}

quantile_window::quantile_window()
  : mEstimator(accumulators::extended_p_square_probabilities = kProbabilities)
{
}

void
quantile_window::Add(std::span<duration const> aSamples)
{
  for (duration const sample : aSamples)
    mEstimator(static_cast<double>(sample.count()));
}

std::size_t
quantile_window::Count() const
{
  return accumulators::count(mEstimator);
}

latency_quantiles
quantile_window::Quantiles() const
{
  return { .mP50 = Estimate(0.5),
           .mP95 = Estimate(0.95),
           .mP99 = Estimate(0.99) };
}

duration
quantile_window::Estimate(double aProbability) const
{
  if (Count() == 0)
    return duration::zero();
  double const estimate = accumulators::quantile(
    mEstimator, accumulators::quantile_probability = aProbability);
  return duration{ static_cast<duration::rep>(std::max(estimate, 0.0)) };
}

}

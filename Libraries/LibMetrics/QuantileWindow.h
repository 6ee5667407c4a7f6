#pragma once

#include <LibCore/Instant.h>
#include <LibMetrics/LatencyQuantiles.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <cstddef>
#include <span>

namespace lycheeseam {

/// Estimates the quantiles of the samples of one time window, in constant
/// memory.
class quantile_window
{
public:
  quantile_window();

  /// Adds samples.
  void Add(std::span<duration const> aSamples);

  /// The number of samples added.
  [[nodiscard]] std::size_t Count() const;

  /// The estimated quantiles; all zero without samples.
  [[nodiscard]] latency_quantiles Quantiles() const;

private:
  using estimator = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<
      boost::accumulators::tag::count,
      boost::accumulators::tag::extended_p_square_quantile_quadratic>>;

  [[nodiscard]] duration Estimate(double aProbability) const;

  estimator mEstimator;
};

}

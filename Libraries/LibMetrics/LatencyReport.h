#pragma once

#include <LibMetrics/LatencyQuantiles.h>
#include <LibMetrics/LatencySeries.h>

#include <cstdint>

namespace lycheeseam {

/// A latency series: count and sum since the start, quantiles of the last
/// complete window, or of the current one when the last one has no samples.
struct latency_report
{
  latency_series mSeries;
  std::uint64_t mCount = 0;
  duration mSum{};
  latency_quantiles mQuantiles;
};

}

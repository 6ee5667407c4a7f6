#pragma once

#include <LibMetrics/CounterSeries.h>
#include <LibMetrics/LatencyHistogram.h>

namespace lycheeseam {

/// A histogram with its name: what one thread added since its last hand-over,
/// or what all threads added since the start.
struct histogram_report
{
  counter_series mSeries;
  latency_histogram mHistogram;
};

}

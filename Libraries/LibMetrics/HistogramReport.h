#pragma once

#include <LibMetrics/CounterSeries.h>
#include <LibMetrics/LatencyHistogram.h>

namespace lycheeseam {

/// A histogram with its name. In a metrics_delta it holds what one thread
/// added since the last delta, in a metrics_report what all threads added since
/// the start.
struct histogram_report
{
  counter_series mSeries;
  latency_histogram mHistogram;
};

}

#pragma once

#include <LibMetrics/CounterDelta.h>
#include <LibMetrics/HistogramReport.h>
#include <LibMetrics/LatencyDelta.h>

#include <vector>

namespace lycheeseam {

/// Everything that one thread recorded since its last hand-over; it posts
/// this to the control thread.
struct metrics_delta
{
  std::vector<counter_delta> mCounters;
  std::vector<histogram_report> mHistograms;
  std::vector<latency_delta> mLatencies;
};

}

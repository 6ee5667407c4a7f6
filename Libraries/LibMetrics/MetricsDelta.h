#pragma once

#include <LibMetrics/CounterDelta.h>
#include <LibMetrics/HistogramReport.h>
#include <LibMetrics/LatencyDelta.h>

#include <vector>

namespace lycheeseam {

/// Everything that one thread recorded since its last delta. The thread posts
/// it to the control thread, which merges it into the metrics_store.
struct metrics_delta
{
  std::vector<counter_delta> mCounters;
  std::vector<histogram_report> mHistograms;
  std::vector<latency_delta> mLatencies;
};

}

#pragma once

#include <LibMetrics/CounterReport.h>
#include <LibMetrics/GaugeReport.h>
#include <LibMetrics/HistogramReport.h>
#include <LibMetrics/LatencyReport.h>

#include <vector>

namespace lycheeseam {

/// All metrics at one time, each kind sorted by series.
struct metrics_report
{
  std::vector<counter_report> mCounters;
  std::vector<gauge_report> mGauges;
  std::vector<histogram_report> mHistograms;
  std::vector<latency_report> mLatencies;
};

}

#pragma once

#include <LibMetrics/CounterSeries.h>
#include <LibMetrics/EventRate.h>
#include <LibMetrics/LatencyHistogram.h>
#include <LibMetrics/LatencySeries.h>
#include <LibMetrics/MetricsDelta.h>
#include <LibMetrics/MetricsReport.h>
#include <LibMetrics/QuantileWindow.h>

#include <cstdint>
#include <map>

namespace lycheeseam {

/// The control thread's sum of all recorders.
class metrics_store
{
public:
  /// The ticks, one a second, after which quantiles start anew.
  static constexpr std::uint32_t kQuantileWindowTicks = 60;

  /// Adds what one thread recorded.
  void Merge(metrics_delta const& aDelta);

  /// Sets a gauge.
  void SetGauge(counter_series const& aSeries, double aValue);

  /// Called once a second: ends a tick of the rates and, now and then, a
  /// window of the quantiles.
  void Tick();

  /// The state of all metrics.
  [[nodiscard]] metrics_report Report() const;

private:
  struct latency_state
  {
    std::uint64_t mCount = 0;
    duration mSum{};
    quantile_window mCurrent;
    quantile_window mPrevious;
  };

  static latency_quantiles BestQuantiles(latency_state const& aState);

  std::map<counter_series, event_rate> mCounters;
  std::map<counter_series, double> mGauges;
  std::map<counter_series, latency_histogram> mHistograms;
  std::map<latency_series, latency_state> mLatencies;
  std::uint32_t mTicksInWindow = 0;
};

}

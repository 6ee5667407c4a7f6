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

/// The merged metrics of all recorders; used on the control thread only.
class metrics_store
{
public:
  /// The length of a window of the quantiles, in ticks of one second.
  static constexpr std::uint32_t kQuantileWindowTicks = 60;

  /// Merges what one thread recorded.
  void Merge(metrics_delta const& aDelta);

  /// Sets a gauge.
  void SetGauge(counter_series const& aSeries, double aValue);

  /// To be called once a second. Ends a tick of the rates and, after
  /// kQuantileWindowTicks ticks, a window of the quantiles.
  void Tick();

  /// The current state of all metrics.
  [[nodiscard]] metrics_report Report() const;

private:
  struct latency_state
  {
    std::uint64_t mCount = 0;
    duration mSum{};
    quantile_window mCurrent;
    quantile_window mPrevious;
  };

  static latency_quantiles ReportedQuantiles(latency_state const& aState);

  std::map<counter_series, event_rate> mCounters;
  std::map<counter_series, double> mGauges;
  std::map<counter_series, latency_histogram> mHistograms;
  std::map<latency_series, latency_state> mLatencies;
  std::uint32_t mTicksInWindow = 0;
};

}

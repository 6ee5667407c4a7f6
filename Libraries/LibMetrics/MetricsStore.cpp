#include <LibMetrics/MetricsStore.h>

#include <utility>

namespace lycheeseam {

void
metrics_store::Merge(metrics_delta const& aDelta)
{
  for (counter_delta const& counter : aDelta.mCounters)
    mCounters[counter.mSeries].Add(counter.mAdded);
  for (histogram_report const& histogram : aDelta.mHistograms)
    mHistograms[histogram.mSeries].Merge(histogram.mHistogram);
  for (latency_delta const& latency : aDelta.mLatencies) {
    latency_state& state = mLatencies[latency.mSeries];
    state.mCount += latency.mSamples.Count();
    state.mSum += latency.mSamples.Sum();
    state.mCurrent.Add(latency.mSamples.Reservoir());
  }
}

void
metrics_store::SetGauge(counter_series const& aSeries, double aValue)
{
  mGauges[aSeries] = aValue;
}

void
metrics_store::Tick()
{
  for (auto& [series, rate] : mCounters)
    rate.Tick();
  if (++mTicksInWindow < kQuantileWindowTicks)
    return;
  mTicksInWindow = 0;
  for (auto& [series, state] : mLatencies)
    state.mPrevious = std::exchange(state.mCurrent, quantile_window{});
}

metrics_report
metrics_store::Report() const
{
  metrics_report report;
  for (auto const& [series, rate] : mCounters)
    report.mCounters.push_back({ .mSeries = series,
                                 .mTotal = rate.Total(),
                                 .mPerSecond = rate.PerTick() });
  for (auto const& [series, value] : mGauges)
    report.mGauges.push_back({ .mSeries = series, .mValue = value });
  for (auto const& [series, histogram] : mHistograms)
    report.mHistograms.push_back(
      { .mSeries = series, .mHistogram = histogram });
  for (auto const& [series, state] : mLatencies)
    report.mLatencies.push_back({ .mSeries = series,
                                  .mCount = state.mCount,
                                  .mSum = state.mSum,
                                  .mQuantiles = ReportedQuantiles(state) });
  return report;
}

// The current window may have too few samples, so the last complete window is
// reported. When that has no samples, as before the first window is complete,
// the current one is reported.
latency_quantiles
metrics_store::ReportedQuantiles(latency_state const& aState)
{
  if (aState.mPrevious.Count() > 0)
    return aState.mPrevious.Quantiles();
  return aState.mCurrent.Quantiles();
}

}

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
    state.mCurrent.Add(latency.mSamples.Kept());
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
                                  .mQuantiles = BestQuantiles(state) });
  return report;
}

// A window that has just begun says too little, so the full one before it is
// shown until it ends; a process younger than that shows what it has.
latency_quantiles
metrics_store::BestQuantiles(latency_state const& aState)
{
  if (aState.mPrevious.Count() > 0)
    return aState.mPrevious.Quantiles();
  return aState.mCurrent.Quantiles();
}

}

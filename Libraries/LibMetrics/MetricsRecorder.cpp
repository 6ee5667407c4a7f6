#include <LibMetrics/MetricsRecorder.h>

#include <utility>

namespace lycheeseam {

counter_handle
metrics_recorder::OpenCounter(counter_series const& aSeries)
{
  auto const [found, isNew] =
    mCounterIndex.try_emplace(aSeries, mCounters.size());
  if (isNew)
    mCounters.push_back({ .mSeries = aSeries });
  return { .mIndex = found->second };
}

latency_handle
metrics_recorder::OpenLatency(pool_name const& aPool,
                              workspace_id const& aWorkspace)
{
  return { .mPoolIndex = OpenSamples(latency_scope::Pool, aPool.Text()),
           .mWorkspaceIndex =
             OpenSamples(latency_scope::Workspace, aWorkspace.Text()) };
}

histogram_handle
metrics_recorder::OpenHistogram(counter_series const& aSeries)
{
  auto const [found, isNew] =
    mHistogramIndex.try_emplace(aSeries, mHistograms.size());
  if (isNew)
    mHistograms.push_back({ .mSeries = aSeries });
  return { .mIndex = found->second };
}

void
metrics_recorder::Observe(histogram_handle aHistogram, duration aValue)
{
  mHistograms[aHistogram.mIndex].mHistogram.Add(aValue);
}

void
metrics_recorder::Count(counter_handle aCounter, std::uint64_t aAdded)
{
  mCounters[aCounter.mIndex].mAdded += aAdded;
}

void
metrics_recorder::RecordLatency(latency_handle aSeries,
                                latency_kind aKind,
                                duration aValue)
{
  int const kind = static_cast<int>(aKind);
  mSamples[aSeries.mPoolIndex].mByKind[kind].Add(aValue, mRandom);
  mSamples[aSeries.mWorkspaceIndex].mByKind[kind].Add(aValue, mRandom);
}

metrics_delta
metrics_recorder::TakeDelta()
{
  metrics_delta delta;
  for (counter_delta& counter : mCounters) {
    if (counter.mAdded == 0)
      continue;
    delta.mCounters.push_back(counter);
    counter.mAdded = 0;
  }
  for (histogram_report& histogram : mHistograms) {
    if (histogram.mHistogram.Count() == 0)
      continue;
    delta.mHistograms.push_back(histogram);
    histogram.mHistogram = {};
  }
  for (named_samples& samples : mSamples) {
    for (int kind = 0; kind < kLatencyKinds; ++kind) {
      latency_samples taken = std::exchange(samples.mByKind[kind], {});
      if (taken.Count() == 0 || samples.mName.empty())
        continue;
      latency_series series{ .mKind = static_cast<latency_kind>(kind),
                             .mScope = samples.mScope,
                             .mName = samples.mName };
      delta.mLatencies.push_back(
        { .mSeries = std::move(series), .mSamples = std::move(taken) });
    }
  }
  return delta;
}

std::size_t
metrics_recorder::OpenSamples(latency_scope aScope, std::string const& aName)
{
  std::map<std::string, std::size_t>& index =
    aScope == latency_scope::Pool ? mPoolIndex : mWorkspaceIndex;
  auto const [found, isNew] = index.try_emplace(aName, mSamples.size());
  if (isNew)
    mSamples.push_back({ .mScope = aScope, .mName = aName });
  return found->second;
}

}

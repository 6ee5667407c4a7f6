#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
#include <LibMetrics/CounterHandle.h>
#include <LibMetrics/HistogramHandle.h>
#include <LibMetrics/LatencyHandle.h>
#include <LibMetrics/MetricsDelta.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <vector>

namespace lycheeseam {

/// Records counts and latencies of one thread; only this thread may call it.
///
/// The thread posts the result of TakeDelta to the control thread
/// periodically. Threads share no state, so recording never blocks.
class metrics_recorder
{
public:
  /// Returns the counter of a series; adds it on the first call.
  counter_handle OpenCounter(counter_series const& aSeries);

  /// Returns the latency series of a pool and a workspace; adds them on the
  /// first call. A series with an empty name is left out of the deltas.
  latency_handle OpenLatency(pool_name const& aPool,
                             workspace_id const& aWorkspace);

  /// Returns the histogram of a series; adds it on the first call.
  histogram_handle OpenHistogram(counter_series const& aSeries);

  /// Adds to a counter.
  void Count(counter_handle aCounter, std::uint64_t aAdded = 1);

  /// Adds a sample to the series of the pool and to that of the workspace.
  void RecordLatency(latency_handle aSeries,
                     latency_kind aKind,
                     duration aValue);

  /// Adds a duration to a histogram.
  void Observe(histogram_handle aHistogram, duration aValue);

  /// Takes what was recorded since the last call.
  [[nodiscard]] metrics_delta TakeDelta();

private:
  // The samples of one pool or workspace, by latency_kind.
  struct named_samples
  {
    latency_scope mScope = latency_scope::Pool;
    std::string mName;
    latency_samples mByKind[kLatencyKinds];
  };

  std::size_t OpenSamples(latency_scope aScope, std::string const& aName);

  std::map<counter_series, std::size_t> mCounterIndex;
  std::vector<counter_delta> mCounters;
  std::map<counter_series, std::size_t> mHistogramIndex;
  std::vector<histogram_report> mHistograms;
  std::map<std::string, std::size_t> mPoolIndex;
  std::map<std::string, std::size_t> mWorkspaceIndex;
  std::vector<named_samples> mSamples;
  std::minstd_rand mRandom;
};

}

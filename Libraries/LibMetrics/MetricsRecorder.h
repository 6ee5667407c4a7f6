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

/// Records counts and latencies of one thread, which alone may call it.
///
/// The thread posts TakeDelta's result to the control thread now and then;
/// nothing is shared between threads, so recording never waits.
class metrics_recorder
{
public:
  /// The counter of that name; opens it at the first call.
  counter_handle OpenCounter(counter_series const& aSeries);

  /// The latency series of a pool and a workspace; opens them at the first
  /// call. An empty name opens a series that is never handed over.
  latency_handle OpenLatency(pool_name const& aPool,
                             workspace_id const& aWorkspace);

  /// The histogram of that name; opens it at the first call.
  histogram_handle OpenHistogram(counter_series const& aSeries);

  /// Adds to a counter.
  void Count(counter_handle aCounter, std::uint64_t aAdded = 1);

  /// Adds a sample to a pool's and a workspace's series.
  void RecordLatency(latency_handle aSeries,
                     latency_kind aKind,
                     duration aValue);

  /// Adds a span to a histogram.
  void Observe(histogram_handle aHistogram, duration aValue);

  /// What was recorded since the last call.
  [[nodiscard]] metrics_delta TakeDelta();

private:
  // The samples of one name, one place for each kind.
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

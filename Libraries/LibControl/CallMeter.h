#pragma once

#include <LibControl/CallState.h>
#include <LibMetrics/MetricsRecorder.h>

#include <string>
#include <string_view>

namespace lycheeseam {

/// Records counters and latencies of calls in the control thread's recorder.
class call_meter
{
public:
  explicit call_meter(metrics_recorder& aRecorder)
    : mRecorder(aRecorder)
  {
  }

  /// Adds one to the counter with that metric, label and label value.
  void Count(char const* aMetric, char const* aLabel, std::string_view aValue)
  {
    mRecorder.Count(mRecorder.OpenCounter(
      counter_series{ .mMetric = aMetric,
                      .mLabel = aLabel,
                      .mLabelValue = std::string{ aValue } }));
  }

  /// Records the latency from the call's arrival to the given moment.
  void Record(call_state const& aCall, latency_kind aKind, instant aMoment)
  {
    latency_handle const series =
      mRecorder.OpenLatency(aCall.mAdmitted.mPool.mName, aCall.Workspace());
    mRecorder.RecordLatency(series, aKind, aMoment - aCall.mRequest.mArrival);
  }

private:
  metrics_recorder& mRecorder;
};

}

#pragma once

#include <LibCore/Instant.h>
#include <LibDispatch/FleetView.h>
#include <LibGateway/LocalAnswer.h>
#include <LibHttp/RequestHead.h>
#include <LibMetrics/MetricsRecorder.h>
#include <LibMetrics/MetricsStore.h>

#include <cstdint>

namespace lycheeseam {

/// The metrics of one instance, served as text. Runs on the control thread.
class fleet_metrics
{
public:
  /// The recorder of the control thread.
  [[nodiscard]] metrics_recorder& Recorder() noexcept { return mRecorder; }

  /// Adds what the traffic thread recorded.
  void Merge(metrics_delta const& aDelta) { mStore.Merge(aDelta); }

  /// To be called more than once a second. Once a second it sets the gauges
  /// from aView and merges what was recorded. aLease is the number of this
  /// instance's lease on orders, 0 for none.
  void Tick(instant aNow, fleet_view const& aView, std::uint64_t aLease);

  /// Sets the gauges of a pool's rollout: the share of requests for the target,
  /// and how many of its answers were bad.
  void SetRollout(pool_name const& aPool,
                  double aShare,
                  std::uint64_t aBadAnswers);

  /// Answers a request at the metrics address: GET /metrics with the metrics,
  /// all else with status 404.
  local_answer Answer(request_head const& aQuery);

private:
  void CountEvents();
  void SetGauges(instant aNow, fleet_view const& aView, std::uint64_t aLease);

  metrics_recorder mRecorder;
  metrics_store mStore;
  std::uint64_t mConfigVersion = 0;
  instant mConfigSince{};
  instant mNextTick{};
};

}

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
  /// Where the control thread records.
  [[nodiscard]] metrics_recorder& Recorder() noexcept { return mRecorder; }

  /// Adds what the traffic thread recorded.
  void Merge(metrics_delta const& aDelta) { mStore.Merge(aDelta); }

  /// Called often. Once a second it takes over what was recorded and what
  /// this instance believes; aLease is its lease on orders, 0 for none.
  void Tick(instant aNow, fleet_view const& aView, std::uint64_t aLease);

  /// The answer to a question at the metrics address.
  local_answer Answer(request_head const& aQuestion);

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

#pragma once

#include <LibCore/Identifiers.h>
#include <LibDispatch/RegisteredServer.h>
#include <LibDispatch/ReportedLoad.h>
#include <LibGateway/AdmittedRequest.h>
#include <LibGateway/ProbeResult.h>
#include <LibGateway/RequestRefusal.h>
#include <LibGateway/RunTrace.h>
#include <LibMetrics/MetricsRecorder.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace lycheeseam {

/// Counts and times what the traffic thread does, by route, workspace, backend
/// server and decision. docs/OPERATIONS.md lists the series.
class traffic_meter
{
public:
  /// A request was sent to a server; aIsRetry is true when it had been sent
  /// before.
  void OnSend(admitted_request const& aAdmitted, bool aIsRetry);

  /// A request was sent to a server of another failure domain.
  void OnCrossing(crossing_reason aReason);

  /// A request was sent to a server of a pool whose rollout runs.
  void OnRolloutSend(registered_server const& aServer);

  /// A retry was denied because the pool's retry budget is used up.
  void OnRetryDenied(pool_name const& aPool);

  /// An attempt ended without providing the caller's answer.
  void OnAttemptEnd(backend_server_id const& aServer, std::string_view aCause);

  /// The server's circuit breaker opened: nothing is sent to it for a while.
  void OnBreakerOpened(backend_server_id const& aServer);

  /// The caller was sent the complete answer of a server.
  void OnAnswer(instant aNow,
                run_trace const& aTrace,
                admitted_request const& aAdmitted,
                backend_server_id const& aServer,
                std::uint32_t aStatus);

  /// A request was sent to a server whose newest report is aLoad.
  void OnLoadUsed(instant aNow, std::optional<reported_load> const& aLoad);

  /// A probe of a server's load ended.
  void OnProbeEnd(probe_result aResult);

  /// The gateway itself refused the request.
  void OnRefusal(instant aNow,
                 run_trace const& aTrace,
                 admitted_request const& aAdmitted,
                 request_refusal const& aRefusal);

  /// What was recorded since the last call.
  [[nodiscard]] metrics_delta TakeDelta() { return mRecorder.TakeDelta(); }

private:
  // Servers join and leave under ever new ids. Those beyond this number share
  // one series, so that memory stays bounded over a long run of the process.
  static constexpr std::size_t kMaxServerSeries = 5'000;

  void Count(char const* aMetric, char const* aLabel, std::string aValue);
  void Observe(char const* aMetric,
               char const* aLabel,
               std::string aValue,
               duration aSpan);
  std::string ServerLabel(backend_server_id const& aServer);

  metrics_recorder mRecorder;
  std::set<backend_server_id> mServers;
};

}

#pragma once

#include <LibCore/Identifiers.h>
#include <LibGateway/AdmittedRequest.h>
#include <LibGateway/RequestRefusal.h>
#include <LibGateway/RunTrace.h>
#include <LibMetrics/MetricsRecorder.h>

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace lycheeseam {

/// Counts and times what the traffic thread does, by route, workspace, backend
/// server and decision. docs/OPERATIONS.md lists the series.
class traffic_meter
{
public:
  /// A request was sent to a server; aIsRepeat when it was sent before.
  void OnSend(admitted_request const& aRows, bool aIsRepeat);

  /// The fleet's allowance of repeats held one back.
  void OnRepeatDenied(pool_name const& aPool);

  /// An attempt ended that the caller's answer didn't come from.
  void OnAttemptEnd(backend_server_id const& aServer, std::string_view aCause);

  /// Nothing is sent to the server for a while.
  void OnBreakerOpened(backend_server_id const& aServer);

  /// A server's answer went to the caller whole.
  void OnAnswer(instant aNow,
                run_trace const& aTrace,
                admitted_request const& aRows,
                backend_server_id const& aServer,
                std::uint32_t aStatus);

  /// The router answered by itself.
  void OnRefusal(instant aNow,
                 run_trace const& aTrace,
                 admitted_request const& aRows,
                 request_refusal const& aRefusal);

  /// What was recorded since the last call.
  [[nodiscard]] metrics_delta TakeDelta() { return mRecorder.TakeDelta(); }

private:
  // Servers come and go under ever new names; those beyond the first many
  // count as one, so that a long life doesn't fill the memory.
  static constexpr std::size_t kMostServers = 5'000;

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

#pragma once

#include <LibGateway/AdmittedRequest.h>
#include <LibGateway/RequestRefusal.h>
#include <LibGateway/RunTrace.h>
#include <LibGateway/TrafficMeter.h>

#include <cstdint>
#include <string_view>

namespace lycheeseam {

/// Tells the log and the metrics of one request. What it refers to outlives
/// it.
class run_events
{
public:
  run_events(traffic_meter& aMeter,
             run_trace const& aTrace,
             admitted_request const& aRows)
    : mMeter(aMeter)
    , mTrace(aTrace)
    , mRows(aRows)
  {
  }

  /// An attempt ended that the caller's answer didn't come from.
  void OnAttemptEnd(instant aNow,
                    backend_server_id const& aServer,
                    std::string_view aCause);

  /// A server's answer went to the caller whole.
  void OnAnswer(instant aNow,
                backend_server_id const& aServer,
                std::uint32_t aStatus);

  /// The router answered by itself.
  void OnRefusal(instant aNow, request_refusal const& aRefusal);

private:
  traffic_meter& mMeter;
  run_trace const& mTrace;
  admitted_request const& mRows;
};

}

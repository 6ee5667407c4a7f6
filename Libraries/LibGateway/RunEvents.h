#pragma once

#include <LibGateway/AdmittedRequest.h>
#include <LibGateway/RequestRefusal.h>
#include <LibGateway/RunTrace.h>
#include <LibGateway/TrafficMeter.h>

#include <cstdint>
#include <string_view>

namespace lycheeseam {

/// Writes the log events and the metrics of one request. The constructor's
/// arguments outlive it.
class run_events
{
public:
  run_events(traffic_meter& aMeter,
             run_trace const& aTrace,
             admitted_request const& aAdmitted)
    : mMeter(aMeter)
    , mTrace(aTrace)
    , mAdmitted(aAdmitted)
  {
  }

  /// An attempt ended without providing the caller's answer.
  void OnAttemptEnd(instant aNow,
                    backend_server_id const& aServer,
                    std::string_view aCause);

  /// The caller was sent the complete answer of a server.
  void OnAnswer(instant aNow,
                backend_server_id const& aServer,
                std::uint32_t aStatus);

  /// The gateway itself refused the request.
  void OnRefusal(instant aNow, request_refusal const& aRefusal);

private:
  traffic_meter& mMeter;
  run_trace const& mTrace;
  admitted_request const& mAdmitted;
};

}

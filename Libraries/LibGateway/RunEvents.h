#pragma once

#include <LibGateway/AdmittedRequest.h>
#include <LibGateway/RequestRefusal.h>
#include <LibGateway/RunTrace.h>
#include <LibGateway/TrafficMeter.h>

#include <string_view>

/// \file What the log and the metrics are told of a request.

namespace lycheeseam {

/// An attempt ended that the caller's answer didn't come from.
void
NoteAttemptEnd(traffic_meter& aMeter,
               instant aNow,
               run_trace const& aTrace,
               admitted_request const& aRows,
               backend_server_id const& aServer,
               std::string_view aCause);

/// A server's answer went to the caller whole.
void
NoteAnswer(traffic_meter& aMeter,
           instant aNow,
           run_trace const& aTrace,
           admitted_request const& aRows,
           backend_server_id const& aServer,
           std::uint32_t aStatus);

/// The router answered by itself.
void
NoteRefusal(traffic_meter& aMeter,
            instant aNow,
            run_trace const& aTrace,
            admitted_request const& aRows,
            request_refusal const& aRefusal);

}

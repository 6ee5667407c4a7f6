#pragma once

#include <LibGateway/AdmittedRequest.h>
#include <LibGateway/RequestRefusal.h>
#include <LibGateway/RunTrace.h>

#include <string_view>

/// \file The log's lines on a request.

namespace lycheeseam {

/// An attempt ended that the caller's answer didn't come from.
void
LogAttemptEnd(instant aNow,
              run_trace const& aTrace,
              admitted_request const& aRows,
              backend_server_id const& aServer,
              std::string_view aCause);

/// A server's answer went to the caller whole.
void
LogAnswer(instant aNow,
          run_trace const& aTrace,
          admitted_request const& aRows,
          backend_server_id const& aServer,
          std::uint32_t aStatus);

/// The router answered by itself.
void
LogRefusal(instant aNow,
           run_trace const& aTrace,
           admitted_request const& aRows,
           request_refusal const& aRefusal);

}

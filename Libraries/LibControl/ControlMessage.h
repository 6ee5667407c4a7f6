#pragma once

#include <LibFront/CallSink.h>
#include <LibRequest/CallerRequest.h>
#include <LibUpstream/UpstreamEnd.h>

#include <variant>

namespace lycheeseam {

/// A caller has sent a request.
struct call_opened
{
  caller_request mRequest;
};

/// A caller has closed its connection before its answer was complete.
struct caller_disconnected
{
  call_number mCall;
};

/// Anything that traffic threads tell control.
using control_message =
  std::variant<call_opened, caller_disconnected, upstream_end>;

}

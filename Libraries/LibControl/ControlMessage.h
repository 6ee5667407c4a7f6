#pragma once

#include <LibFront/CallSink.h>
#include <LibRequest/CallerRequest.h>
#include <LibUpstream/UpstreamEnd.h>

#include <variant>

namespace lycheeseam {

/// A caller sent a request.
struct call_opened
{
  caller_request mRequest;
};

/// A caller closed its connection before its answer was complete.
struct caller_disconnected
{
  call_number mCall;
};

/// A message from a traffic thread to the control thread.
using control_message =
  std::variant<call_opened, caller_disconnected, upstream_end>;

}

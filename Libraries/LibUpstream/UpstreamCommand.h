#pragma once

#include <LibUpstream/UpstreamRequest.h>

#include <variant>

namespace lycheeseam {

/// Ends an attempt; the backend server sees its connection close.
struct cancel_transfer
{
  call_number mCall;
};

/// Whether a call's bytes may flow; a slow caller pauses them.
enum class transfer_flow
{
  Paused,
  Flowing,
};

/// Pauses or resumes a call's running attempt.
struct set_transfer_flow
{
  call_number mCall;
  transfer_flow mFlow = transfer_flow::Flowing;
};

/// Anything that other threads ask of an upstream loop.
using upstream_command =
  std::variant<upstream_request, cancel_transfer, set_transfer_flow>;

}

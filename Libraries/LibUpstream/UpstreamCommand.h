#pragma once

#include <LibUpstream/UpstreamRequest.h>

#include <variant>

namespace lycheeseam {

/// Cancels a call's running attempt and closes its connection to the backend
/// server.
struct cancel_transfer
{
  call_number mCall;
};

/// Whether an attempt's answer is read; it is paused while the caller is slow.
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

/// Any command that other threads post to an upstream_loop; an upstream_request
/// starts an attempt.
using upstream_command =
  std::variant<upstream_request, cancel_transfer, set_transfer_flow>;

}

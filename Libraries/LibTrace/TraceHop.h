#pragma once

#include <string_view>

namespace lycheeseam {

/// The stage of processing a request that a span covers.
enum class trace_hop
{
  Front,
  Admission,
  Queue,
  Placement,
  Attempt,
  Peer,
};

/// The hop's name: "front", "admission", "queue", "placement", "attempt" or
/// "peer".
std::string_view
TraceHopName(trace_hop aHop);

}

#include <LibTrace/TraceHop.h>

namespace lycheeseam {

std::string_view
TraceHopName(trace_hop aHop)
{
  switch (aHop) {
    case trace_hop::Front:
      return "front";
    case trace_hop::Admission:
      return "admission";
    case trace_hop::Queue:
      return "queue";
    case trace_hop::Placement:
      return "placement";
    case trace_hop::Attempt:
      return "attempt";
    case trace_hop::Peer:
      return "peer";
  }
  return "unknown";
}

}

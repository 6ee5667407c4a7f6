#include <LibGateway/AttemptEndCause.h>

namespace lycheeseam {

std::string_view
ConnectFailureCause(exchange_end aEnd)
{
  if (aEnd == exchange_end::Refused)
    return "connection_refused";
  return aEnd == exchange_end::NoPath ? "no_path" : "not_connected";
}

std::string_view
LossCause(exchange_end aEnd)
{
  if (aEnd == exchange_end::Unresponsive)
    return "silent";
  return aEnd == exchange_end::TunnelBroken ? "tunnel_broken" : "broken";
}

}

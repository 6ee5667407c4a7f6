#pragma once

#include <cstdint>

namespace lycheeseam {

/// Whether a peer opens a tunnel, and if not, why.
enum class tunnel_result : std::uint8_t
{
  /// The tunnel is open: what follows is the server's.
  Open,
  /// The peer can't connect to the server.
  Unreachable,
  /// The peer opens no tunnels now: it reaches no servers itself, or is
  /// stopping.
  Unavailable,
  /// The peer doesn't know this incarnation of the server, or knows that it
  /// takes no requests now.
  Refused,
};

}

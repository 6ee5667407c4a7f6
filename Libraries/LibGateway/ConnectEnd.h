#pragma once

namespace lycheeseam {

/// How the attempt to open a connection to a backend server ended.
enum class connect_end
{
  /// Open, to the server itself.
  Direct,
  /// Open through a peer.
  Tunnel,
  /// The server refused it.
  Refused,
  /// The server couldn't be reached in time, nor through peers.
  NotConnected,
};

}

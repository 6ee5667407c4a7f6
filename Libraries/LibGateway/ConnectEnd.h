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
  /// The server couldn't be reached in time, directly or by a peer that reaches
  /// others.
  NotConnected,
  /// This instance is cut off from all servers, and no peer opened a tunnel.
  /// That says nothing about the server.
  NoPath,
};

}

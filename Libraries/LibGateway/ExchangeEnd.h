#pragma once

namespace lycheeseam {

/// How an exchange with a backend server ended.
enum class exchange_end
{
  /// The complete answer was read.
  Complete,
  /// The server closed the connection at the end of an answer that states
  /// neither a length nor chunks, or within it.
  Closed,
  /// No connection could be opened, so the request was not sent.
  NotConnected,
  /// The connection was refused because nothing listens at the address, so the
  /// request was not sent.
  Refused,
  /// No path to the server could be opened, so the request was not sent; the
  /// server itself may be well.
  NoPath,
  /// The tunnel through a peer broke after the request was sent. Either the
  /// server or the peer may have failed, and the server may have run it.
  TunnelBroken,
  /// The server's machine stopped acknowledging packets after the request was
  /// sent.
  Unresponsive,
  /// The connection broke, or carried invalid HTTP, after the request was sent.
  Broken,
};

}

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
  /// The server's machine stopped acknowledging packets after the request was
  /// sent.
  Unresponsive,
  /// The connection broke, or carried invalid HTTP, after the request was sent.
  Broken,
};

}

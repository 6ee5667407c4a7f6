#pragma once

namespace lycheeseam {

/// How an exchange with a backend server ended.
enum class exchange_end
{
  /// The answer is whole.
  Complete,
  /// No connection could be opened: the request was not sent.
  NotConnected,
  /// No connection could be opened since nothing listens there.
  Refused,
  /// The server's machine acknowledges nothing any more, after the request was
  /// sent.
  Silent,
  /// The connection broke or spoke no HTTP, after the request was sent.
  Broken,
};

}

#pragma once

namespace lycheeseam {

/// Why an attempt got no complete answer.
enum class transfer_failure
{
  None,
  /// The connection wasn't established, so nothing was sent.
  NotConnected,
  /// The connection was closed early, or the answer is truncated.
  ConnectionLost,
  /// The answer's first byte didn't arrive within its timeout.
  FirstByteTimeout,
  /// No more bytes of the answer arrived for too long.
  Stalled,
  /// The router cancelled the attempt.
  Cancelled,
};

}

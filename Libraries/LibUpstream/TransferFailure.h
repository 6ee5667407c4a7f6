#pragma once

namespace lycheeseam {

/// Why an attempt brought no complete answer.
enum class transfer_failure
{
  None,
  /// No connection came about, so nothing was sent.
  NotConnected,
  /// The connection ended, or the answer was cut short.
  ConnectionLost,
  /// No first byte came within its timeout.
  FirstByteTimeout,
  /// The answer stopped flowing.
  Stalled,
  /// The router ended the attempt itself.
  Cancelled,
};

}

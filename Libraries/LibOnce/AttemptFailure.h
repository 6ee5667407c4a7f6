#pragma once

namespace lycheeseam {

/// How an attempt on a backend server failed.
enum class attempt_failure
{
  /// The connection was refused or timed out: no byte was sent.
  NotSent,
  /// The connection closed before the first byte of the answer.
  BrokenBeforeAnswer,
  /// The connection closed within the answer.
  BrokenInAnswer,
  /// The first byte of the answer did not arrive in time; the server may still
  /// be working.
  TimedOut,
};

}

#pragma once

namespace lycheeseam {

/// How an attempt on a backend server failed.
enum class attempt_failure
{
  /// The connection was refused or not made in time: no byte was sent.
  NotSent,
  /// The connection broke before the answer's first byte.
  BrokenBeforeAnswer,
  /// The connection broke within the answer.
  BrokenInAnswer,
  /// No first byte came in time; the server may be at work.
  TimedOut,
};

}

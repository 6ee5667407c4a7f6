#pragma once

namespace lycheeseam {

/// What the head of an answer decided about its attempt.
enum class attempt_outcome
{
  /// No head has been received.
  Pending,
  /// The answer is passed on to the caller.
  Accepted,
  /// The server states that it did not run the request.
  NotRun,
  /// The server ran the request and failed; another server may succeed.
  Failed,
  /// A success without the stamp that servers put on their answers, so not an
  /// answer of a server.
  Invalid,
};

}

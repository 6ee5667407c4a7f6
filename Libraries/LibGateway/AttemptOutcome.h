#pragma once

namespace lycheeseam {

/// What the head of an answer decided about the attempt that it ends.
enum class attempt_outcome
{
  /// No head has come.
  Open,
  /// The answer goes to the caller.
  Taken,
  /// The server says that it didn't run the request.
  NotRun,
  /// The server ran the request and failed; another may do better.
  Failed,
  /// The bytes are no answer of a server.
  Spoiled,
};

}

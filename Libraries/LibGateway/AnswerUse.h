#pragma once

namespace lycheeseam {

/// What to do with an answer whose head has been read.
enum class answer_use
{
  /// Pass its body to the sink.
  Accept,
  /// The answer belongs to another request: read past it to the next one.
  Skip,
  /// The head says all that matters: read past the body if it is short, so that
  /// the connection can be used again.
  Discard,
  /// Not an answer of a server: close the connection.
  Reject,
};

}

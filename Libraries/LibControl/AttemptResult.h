#pragma once

namespace lycheeseam {

/// What the end of an attempt shows about its backend server.
enum class attempt_result
{
  /// The server answered; the answer may be an error.
  Answered,
  /// The connection was refused or broke, or the server did not answer within
  /// the timeout.
  Failed,
  /// This instance ended the attempt, which shows nothing about the server.
  Cancelled,
};

}

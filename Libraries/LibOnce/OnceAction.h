#pragma once

namespace lycheeseam {

/// What a request may do now.
enum class once_action
{
  /// Send it to a backend server.
  Run,
  /// Another attempt with the same key has run: give its answer.
  Replay,
  /// Another attempt with the same key may have run.
  RefuseMayHaveRun,
  /// The key was used for another request. Not run.
  RefuseKeyReused,
  /// The log can't be reached or took too long. Not run.
  RefuseLogOut,
  /// Too many claims are remembered. Not run.
  RefuseFull,
};

}

#pragma once

namespace lycheeseam {

/// What happens with a request that came to the once_gate.
enum class once_action
{
  /// Send it to a backend server.
  Run,
  /// Another request with the same key has run: return its answer.
  Replay,
  /// Another request with the same key may have run.
  RefuseMayHaveRun,
  /// The key was used for a different request. Not run.
  RefuseKeyReused,
  /// The log is unreachable or did not answer in time. Not run.
  RefuseLogUnreachable,
  /// The table of claims is full. Not run.
  RefuseFull,
};

}

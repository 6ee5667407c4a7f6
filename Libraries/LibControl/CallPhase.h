#pragma once

namespace lycheeseam {

/// Where an open call stands.
enum class call_phase
{
  /// Waits for the log to say whether it may run.
  Claiming,
  /// Waits for its workspace's tokens.
  Charging,
  /// Waits for its turn at its pool.
  Queued,
  /// An attempt runs at a backend server.
  Running,
};

}

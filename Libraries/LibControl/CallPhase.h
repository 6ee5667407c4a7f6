#pragma once

namespace lycheeseam {

/// The stage that an open call has reached.
enum class call_phase
{
  /// Waits for its claim in the log to be granted or refused.
  Claiming,
  /// Waits for tokens of its workspace's budget.
  Charging,
  /// Waits in its pool's queue.
  Queued,
  /// An attempt runs on a backend server.
  Running,
};

}

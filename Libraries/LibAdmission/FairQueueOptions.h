#pragma once

#include <LibCore/Identifiers.h>

#include <cstddef>
#include <cstdint>

namespace lycheeseam {

/// Bounds of a fair_queue.
struct fair_queue_options
{
  /// Tokens that a workspace of weight 1 may send in one round.
  token_count mQuantum = 4096;
  /// The most requests that wait, over all workspaces.
  std::size_t mMaxWaiting = 4096;
  /// The most requests of one workspace that wait.
  std::size_t mMaxWaitingPerWorkspace = 1024;
  /// One admission in this many goes to a lower priority class that waits, so
  /// that no class starves.
  std::uint32_t mLowerClassTurn = 16;
};

}

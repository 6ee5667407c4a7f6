#pragma once

#include <LibCore/Identifiers.h>

#include <cstddef>
#include <cstdint>

namespace lycheeseam {

/// Options of a fair_queue.
struct fair_queue_options
{
  /// Tokens that a round adds to the deficit of a workspace of weight 1.
  token_count mQuantum = 4096;
  /// Limit of waiting requests of all workspaces.
  std::size_t mMaxWaiting = 4096;
  /// Limit of waiting requests of one workspace.
  std::size_t mMaxWaitingPerWorkspace = 1024;
  /// One of this many admissions goes to a lower priority class while one
  /// waits, so that no class starves.
  std::uint32_t mLowerClassInterval = 16;
};

}

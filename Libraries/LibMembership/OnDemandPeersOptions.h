#pragma once

#include <LibCore/Instant.h>

#include <chrono>
#include <cstddef>

namespace lycheeseam {

/// Limits of links that are opened on demand, beyond the selected ones.
struct on_demand_peers_options
{
  /// The maximum number of such links; the least recently used is dropped.
  std::size_t mMaxPeers = 32;
  /// A link unused for this long is dropped.
  duration mIdleTimeout = std::chrono::minutes{ 2 };
};

}

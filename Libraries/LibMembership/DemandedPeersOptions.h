#pragma once

#include <LibCore/Instant.h>

#include <chrono>
#include <cstddef>

namespace lycheeseam {

/// Links beyond the selected ones, opened because messages need them.
struct demanded_peers_options
{
  /// The most such links; the one unused for longest gives way.
  std::size_t mMaxPeers = 32;
  /// A link unused for this long is given up.
  duration mIdleTimeout = std::chrono::minutes{ 2 };
};

}

#pragma once

#include <chrono>

namespace lycheeseam {

/// Intervals of the supervision of peers and of the log's freshness.
struct heartbeat_settings
{
  /// Between two heartbeats, or two checks of a quiet link.
  std::chrono::milliseconds mInterval{ 1000 };
  /// A peer not heard from for this long is taken for dead.
  std::chrono::milliseconds mTimeout{ 4000 };
  /// An instance whose knowledge of the log's tail is older than this, its
  /// peers' included, is not confirmed.
  std::chrono::milliseconds mFreshnessBound{ 3000 };

  bool operator==(heartbeat_settings const&) const = default;
};

}

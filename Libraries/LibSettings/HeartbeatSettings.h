#pragma once

#include <chrono>

namespace lycheeseam {

/// The timing of failure detection between peers and of the log's freshness.
struct heartbeat_settings
{
  /// The time between two heartbeats, or two checks of an idle link.
  std::chrono::milliseconds mInterval{ 1000 };
  /// A peer that sends nothing for this long is considered failed.
  std::chrono::milliseconds mTimeout{ 4000 };
  /// An instance is not confirmed when its newest observation of the log's
  /// tail, its own or a peer's, is older than this.
  std::chrono::milliseconds mFreshnessBound{ 3000 };

  bool operator==(heartbeat_settings const&) const = default;
};

}

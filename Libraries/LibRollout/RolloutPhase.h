#pragma once

#include <cstdint>

namespace lycheeseam {

/// How far a rollout is.
enum class rollout_phase : std::uint8_t
{
  /// A first small share of requests, or none yet, goes to the target.
  Observing,
  /// A larger share goes to the target.
  Ramping,
  /// All new requests go to the target; others are still finishing.
  Draining,
  Completed,
  RolledBack,
};

}

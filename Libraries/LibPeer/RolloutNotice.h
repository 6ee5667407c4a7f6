#pragma once

#include <LibRollout/RolloutState.h>

#include <cstdint>

namespace lycheeseam {

/// The state of a rollout, as the instance that leads it tells the others.
struct rollout_notice
{
  /// The number of the leader's lease on orders.
  std::uint64_t mLease = 0;
  rollout_state mState;

  bool operator==(rollout_notice const&) const = default;
};

}

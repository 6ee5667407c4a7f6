#pragma once

#include <LibRollout/RolloutOrder.h>
#include <LibRollout/RolloutPhase.h>
#include <LibRollout/RolloutReason.h>

#include <cstdint>
#include <tuple>

namespace lycheeseam {

/// The state of a pool's rollout, which the leader sends to all instances and
/// keeps in the store.
struct rollout_state
{
  rollout_order mOrder;
  rollout_phase mPhase = rollout_phase::Observing;
  rollout_reason mReason = rollout_reason::None;
  /// The share of requests for the target, 0 to 1.
  double mShare = 0;
  /// How many of the target's servers may get requests: the first in the order
  /// of FirstServers; 0 means all.
  std::uint32_t mServers = 0;
  std::uint64_t mRevision = 0;
  /// The time since the order. It grows with each report of the leader, which
  /// shows receivers that the leader is alive.
  duration mElapsed{};

  bool operator==(rollout_state const&) const = default;

  [[nodiscard]] bool IsEnded() const noexcept
  {
    return mPhase == rollout_phase::Completed ||
           mPhase == rollout_phase::RolledBack;
  }

  /// True when it replaces another state of the same pool.
  [[nodiscard]] bool IsNewerThan(rollout_state const& aOther) const
  {
    return std::tie(mOrder.mNumber, mRevision, mElapsed) >
           std::tie(aOther.mOrder.mNumber, aOther.mRevision, aOther.mElapsed);
  }
};

}

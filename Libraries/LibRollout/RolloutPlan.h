#pragma once

#include <LibCore/Instant.h>
#include <LibRollout/ExposureBudget.h>
#include <LibRollout/RolloutInputs.h>
#include <LibRollout/RolloutLimits.h>
#include <LibRollout/RolloutState.h>
#include <LibRollout/RolloutStep.h>
#include <LibRollout/ShareSchedule.h>

#include <optional>

namespace lycheeseam {

/// The leader's plan for the rollout of one pool.
class rollout_plan
{
public:
  rollout_plan(rollout_order const& aOrder,
               rollout_limits const& aLimits,
               duration aElapsed);

  /// Decides the next step; returns the new state when it changed. The caller
  /// ticks about ten times a second, and stores a state that ended before it
  /// writes the status from it.
  [[nodiscard]] std::optional<rollout_state> Tick(
    instant aNow,
    rollout_inputs const& aInputs);

  /// Continues from the state that an earlier leader left; ignores one that is
  /// not newer, and one of another order.
  void Restore(instant aNow, rollout_state const& aState);

  /// True when an order asks for what this plan does or has completed, or for
  /// what it rolled back within the time of its order.
  [[nodiscard]] bool IsRepeated(instant aNow,
                                rollout_order const& aOrder) const;

  /// Replaces the order by a newer one, unless it is repeated. Returns the last
  /// state of the old order if this ended it; the caller sends and stores it
  /// along with the new one, because its target must get no more requests.
  std::optional<rollout_state> Replace(instant aNow,
                                       rollout_order const& aOrder,
                                       duration aElapsed);

  /// The state now; sent with every report, also when it did not change.
  [[nodiscard]] rollout_state State(instant aNow) const;

  /// The number of requests that the target got, as reckoned from the shares.
  [[nodiscard]] double Exposure() const noexcept { return mUsage.mSent; }

private:
  [[nodiscard]] duration Elapsed(instant aNow) const;
  void Account(instant aNow, rollout_inputs const& aInputs);
  [[nodiscard]] rollout_step NextStep(duration aElapsed,
                                      rollout_inputs const& aInputs) const;
  [[nodiscard]] bool Differs(rollout_step const& aStep) const;

  rollout_limits mLimits;
  rollout_state mState;
  /// The time since the order when this plan was made; the first tick sets
  /// mStartedAt from it.
  duration mElapsedBefore{};
  std::optional<instant> mStartedAt;
  std::optional<instant> mAccountedAt;
  exposure_budget::usage mUsage;
  /// When the target first got requests, as time since the order.
  std::optional<duration> mFirstSharedAt;
};

}

#pragma once

#include <LibCore/Instant.h>
#include <LibRollout/ExposureBudget.h>
#include <LibRollout/RolloutInputs.h>
#include <LibRollout/RolloutLimits.h>
#include <LibRollout/RolloutStep.h>

#include <optional>

namespace lycheeseam {

/// Which share the target gets at which time of an order, so that it can be
/// found bad at any time before its exposure is used up.
class share_schedule
{
public:
  struct options
  {
    duration mOrderTime{};
    rollout_limits mLimits;
    /// When the target first got requests, as time since the order.
    std::optional<duration> mFirstSharedAt;
    exposure_budget::usage mUsage;
    /// The mean time that a request runs; 0 if unknown.
    duration mRunTime{};
  };

  /// How long the target is watched at a small share at least.
  [[nodiscard]] static duration WatchTime(duration aOrderTime);

  explicit share_schedule(options const& aOptions);

  /// True when the time has come for all requests to go to the target.
  [[nodiscard]] bool IsMoveDue(duration aElapsed) const;

  /// True when an order that hasn't moved all requests is to be rolled back.
  [[nodiscard]] bool IsOver(duration aElapsed) const;

  /// The step before the move of all requests.
  [[nodiscard]] rollout_step StepAt(duration aElapsed,
                                    rollout_inputs const& aInputs) const;

private:
  [[nodiscard]] duration DrainTime() const;
  /// The share at which a part of the exposure is used up after a time.
  [[nodiscard]] double ShareFor(double aPart, duration aTime) const;
  [[nodiscard]] rollout_step HoldStep(duration aElapsed,
                                      rollout_inputs const& aInputs) const;

  options mOptions;
  /// When the target gets a burst of requests, the answers to which are awaited
  /// before all requests move.
  duration mBurstAt{};
  duration mMoveAt{};
};

}

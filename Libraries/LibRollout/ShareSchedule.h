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
  };

  explicit share_schedule(options const& aOptions);

  /// True when the time has come for all requests to go to the target.
  [[nodiscard]] bool IsMoveDue(duration aElapsed) const;

  /// True when an order that hasn't moved all requests is to be rolled back.
  [[nodiscard]] bool IsOver(duration aElapsed) const;

  /// The step before the move of all requests.
  [[nodiscard]] rollout_step StepAt(duration aElapsed,
                                    rollout_inputs const& aInputs) const;

private:
  /// A part of the exposure, which may be used until a time.
  [[nodiscard]] double ShareFor(double aPart, duration aTimeLeft) const;
  [[nodiscard]] rollout_step HoldStep(duration aElapsed,
                                      rollout_inputs const& aInputs) const;

  options mOptions;
  duration mLastStepAt{};
  duration mMoveAt{};
};

}

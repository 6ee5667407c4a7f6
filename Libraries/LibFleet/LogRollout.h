#pragma once

#include <LibRollout/RolloutState.h>
#include <LibRollout/RolloutVerdict.h>

/// \file The log events of the instance that leads a rollout.

namespace lycheeseam {

/// A step was taken. aExposure is the number of requests that the target got.
void
LogRolloutStep(rollout_state const& aState, double aExposure);

/// The target was found bad.
void
LogRolloutBad(rollout_state const& aState, rollout_verdict const& aVerdict);

void
LogRolloutEnded(rollout_state const& aState);

}

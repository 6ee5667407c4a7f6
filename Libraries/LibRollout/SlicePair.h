#pragma once

#include <LibRollout/RolloutSample.h>

namespace lycheeseam {

/// The target's answers in one slice of time, and the answers of the other
/// software to compare them with.
struct slice_pair
{
  rollout_sample mTarget;
  rollout_sample mOthers;
  /// False when the other software had too few answers at that time, so that
  /// earlier ones are taken.
  bool mIsSameTime = true;
};

}

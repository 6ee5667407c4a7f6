#pragma once

#include <LibRollout/RolloutVerdict.h>
#include <LibRollout/SoftwareServers.h>

#include <cstdint>

namespace lycheeseam {

/// What a plan decides from.
struct rollout_inputs
{
  software_servers mTarget;
  /// Servers of other software that may get requests.
  software_servers mOthers;
  /// The pool's requests per second, over all instances.
  double mRate = 0;
  /// The pool's requests that are running, over all instances; 0 if unknown.
  double mRunning = 0;
  /// True when no instance has a request running on, or on its way to, other
  /// software, and all instances know the state with this revision.
  bool mIsDrained = false;
  /// The judge's verdict and its count of the target's answers.
  rollout_verdict mVerdict;
  std::uint64_t mTargetAnswers = 0;
};

}

#pragma once

#include <LibCore/Instant.h>

#include <chrono>

namespace lycheeseam {

/// The limits of rollouts, from the deployment's settings.
struct rollout_limits
{
  /// The share of a pool's requests that a bad version may get.
  double mShare = 0.1;
  /// Further requests that it may get.
  double mSlack = 50;
  /// How long after its 50th bad answer a bad version may get requests.
  duration mRollbackTime = std::chrono::seconds{ 5 };
};

}

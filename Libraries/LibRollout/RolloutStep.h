#pragma once

#include <LibRollout/RolloutPhase.h>
#include <LibRollout/RolloutReason.h>

#include <cstdint>

namespace lycheeseam {

/// What a plan decides at a moment.
struct rollout_step
{
  rollout_phase mPhase = rollout_phase::Observing;
  rollout_reason mReason = rollout_reason::None;
  double mShare = 0;
  /// 0 means all.
  std::uint32_t mServers = 0;
};

}

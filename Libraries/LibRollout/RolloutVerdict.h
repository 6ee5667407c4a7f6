#pragma once

#include <LibCore/Identifiers.h>
#include <LibRollout/RolloutReason.h>

#include <cstdint>

namespace lycheeseam {

enum class verdict_kind : std::uint8_t
{
  Undecided,
  Bad,
  NoWorse,
};

/// What a judge finds about the target.
struct rollout_verdict
{
  verdict_kind mKind = verdict_kind::Undecided;
  rollout_reason mReason = rollout_reason::None;
  /// Where the target is bad.
  route_name mRoute;
  /// The target's answers that were bad for this reason, and how many of its
  /// answers would have been if it were like the other software.
  double mBad = 0;
  double mExpected = 0;
};

}

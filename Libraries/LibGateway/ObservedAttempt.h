#pragma once

#include <LibCore/Instant.h>
#include <LibDispatch/PoolSoftware.h>
#include <LibRollout/RolloutSide.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace lycheeseam {

/// What traffic_rollouts observes of one attempt.
struct observed_attempt
{
  /// The pool and the software of the server.
  pool_software mSoftware;
  route_name mRoute;
  /// The number of the order that runs in the pool; empty when none does.
  std::optional<std::uint64_t> mOrder;
  rollout_side mSide = rollout_side::Others;
  std::size_t mSizeClass = 0;
  /// The latency that the answer should keep.
  duration mTargetLatency{};
  instant mSentAt{};
  std::optional<instant> mFirstPieceAt;
  instant mLastPieceAt{};
  duration mLongestPause{};
  /// HTTP status of the answer; 0 before its head.
  std::uint32_t mStatus = 0;
  /// The answer was received to its end.
  bool mIsComplete = false;
  /// The connection broke while the server ran the request, or the answer was
  /// not a server's.
  bool mIsBroken = false;
  /// Nothing can be said of the server: the request didn't reach it or wasn't
  /// run, or the path to it failed.
  bool mIsIgnored = false;

  void OnPiece(instant aNow)
  {
    if (mFirstPieceAt)
      mLongestPause = std::max(mLongestPause, aNow - mLastPieceAt);
    mFirstPieceAt = mFirstPieceAt.value_or(aNow);
    mLastPieceAt = aNow;
  }
};

}

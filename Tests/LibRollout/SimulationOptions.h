#pragma once

#include <LibCore/Instant.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>

namespace lycheeseam {

/// How servers of some software answer.
struct simulated_behaviour
{
  double mFailurePart = 0;
  double mSlowPart = 0;
  double mSlowFactor = 1;
  double mPauseFactor = 1;
  /// When the above begins, as time since the order.
  duration mFrom{};
  /// The only route that it applies to.
  std::optional<std::size_t> mRoute;
  /// It applies only while a server runs more requests than this.
  std::size_t mAboveRunning = 0;
};

struct simulation_options
{
  std::uint64_t mSeed = 1;
  std::size_t mGates = 80;
  double mRate = 290;
  duration mOrderTime = std::chrono::seconds{ 12 };
  std::size_t mOldServers = 60;
  std::size_t mNewServers = 60;
  simulated_behaviour mOld;
  simulated_behaviour mNew;
  /// Gates that get no states from mCutOffFrom on.
  std::set<std::size_t> mCutOff;
  duration mCutOffFrom{};
  /// When the leader fails, and when the next one goes on from its last state.
  std::optional<duration> mLeaderFailsAt;
  duration mTakeoverTime = std::chrono::milliseconds{ 2500 };
  /// When the same order arrives again.
  std::optional<duration> mRepeatedAt;
};

/// What a simulation measured.
struct simulation_result
{
  std::uint64_t mArrived = 0;
  std::uint64_t mTargetSends = 0;
  std::uint64_t mBadAnswers = 0;
  /// Times since the order.
  std::optional<duration> mFiftiethBadAt;
  std::optional<duration> mLastTargetSendAt;
  std::optional<duration> mEndedAt;
  /// Requests running on old servers at the end.
  std::size_t mRunningOnOld = 0;
  /// Target requests of cut-off gates later than 1.5 s after the cut.
  std::uint64_t mLateCutOffSends = 0;
};

}

#include "SimulatedFleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <string_view>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeeds = 200;
constexpr rollout_limits kLimits{};

double
Seconds(std::optional<duration> aTime)
{
  return aTime ? std::chrono::duration<double>(*aTime).count() : -1;
}

/// Runs all seeds of a scenario and counts how they ended.
class scenario
{
public:
  explicit scenario(simulation_options const& aOptions)
    : mOptions(aOptions)
  {
  }

  template<typename Check>
  void Run(Check const& aCheck)
  {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      mOptions.mSeed = seed;
      simulated_fleet fleet{ mOptions };
      simulation_result const result = fleet.Run();
      SCOPED_TRACE("seed " + std::to_string(seed));
      aCheck(result, fleet.LastState());
      double const limit =
        kLimits.mShare * static_cast<double>(result.mArrived) + kLimits.mSlack;
      mWorstExposure = std::max(
        mWorstExposure, static_cast<double>(result.mTargetSends) / limit);
      mLatestEnd = std::max(mLatestEnd, Seconds(result.mEndedAt));
      mMostBad = std::max(mMostBad, result.mBadAnswers);
    }
  }

  void Print(std::string_view aName) const
  {
    std::cout << aName << ": exposure at most " << mWorstExposure
              << " of the limit, ended by " << mLatestEnd << " s, at most "
              << mMostBad << " bad answers\n";
  }

private:
  simulation_options mOptions;
  double mWorstExposure = 0;
  double mLatestEnd = 0;
  std::uint64_t mMostBad = 0;
};

void
ExpectCompleted(simulation_result const& aResult, rollout_state const& aState)
{
  EXPECT_EQ(aState.mPhase, rollout_phase::Completed)
    << "reason " << static_cast<int>(aState.mReason);
  EXPECT_LT(Seconds(aResult.mEndedAt), 12);
  EXPECT_EQ(aResult.mRunningOnOld, 0U);
}

void
ExpectWithinExposure(simulation_result const& aResult)
{
  EXPECT_LE(static_cast<double>(aResult.mTargetSends),
            kLimits.mShare * static_cast<double>(aResult.mArrived) +
              kLimits.mSlack);
}

void
ExpectRolledBack(simulation_result const& aResult, rollout_state const& aState)
{
  EXPECT_EQ(aState.mPhase, rollout_phase::RolledBack);
  EXPECT_LT(Seconds(aResult.mEndedAt), 12);
  ExpectWithinExposure(aResult);
  if (aResult.mFiftiethBadAt && aResult.mLastTargetSendAt) {
    EXPECT_LE(*aResult.mLastTargetSendAt - *aResult.mFiftiethBadAt,
              kLimits.mRollbackTime);
  }
}

// Guards against false rollbacks and against moves that end too late.
TEST(Rollouts, GoodVersionCompletesInTime)
{
  scenario runs{ {} };
  runs.Run(ExpectCompleted);
  runs.Print("good");
}

TEST(Rollouts, VersionThatFailsAtOnceIsRolledBack)
{
  scenario runs{ { .mNew = { .mFailurePart = 0.3 } } };
  runs.Run(ExpectRolledBack);
  runs.Print("fails at once");
}

TEST(Rollouts, VersionThatFailsAltogetherIsRolledBack)
{
  scenario runs{ { .mNew = { .mFailurePart = 1 } } };
  runs.Run(ExpectRolledBack);
  runs.Print("fails altogether");
}

TEST(Rollouts, SlowVersionIsRolledBack)
{
  scenario runs{ { .mNew = { .mSlowPart = 1, .mSlowFactor = 4 } } };
  runs.Run(ExpectRolledBack);
  runs.Print("slow");
}

TEST(Rollouts, PartlySlowVersionIsRolledBack)
{
  scenario runs{ { .mNew = { .mSlowPart = 0.4, .mSlowFactor = 5 } } };
  runs.Run(ExpectRolledBack);
  runs.Print("partly slow");
}

TEST(Rollouts, VersionWithLongPausesIsRolledBack)
{
  scenario runs{ { .mNew = { .mPauseFactor = 4 } } };
  runs.Run(ExpectRolledBack);
  runs.Print("long pauses");
}

// Guards against a hold that is too short to see a version turn bad.
TEST(Rollouts, VersionThatTurnsBadLateIsRolledBack)
{
  for (duration const from : { seconds{ 3 }, seconds{ 5 }, seconds{ 7 } }) {
    scenario runs{ { .mNew = { .mFailurePart = 0.3, .mFrom = from } } };
    runs.Run(ExpectRolledBack);
    runs.Print("fails from " + std::to_string(Seconds(from)));
  }
}

// Guards against a move that uses up the exposure before the answers to it are
// known.
TEST(Rollouts, VersionThatTurnsBadInTheMoveIsRolledBack)
{
  for (duration const from : { milliseconds{ 7800 }, milliseconds{ 8400 } }) {
    scenario runs{ { .mNew = { .mFailurePart = 0.3, .mFrom = from } } };
    runs.Run(ExpectRolledBack);
    runs.Print("fails from " + std::to_string(Seconds(from)));
  }
}

TEST(Rollouts, VersionThatTurnsSlowLateIsRolledBack)
{
  scenario runs{
    { .mNew = { .mSlowPart = 1, .mSlowFactor = 4, .mFrom = seconds{ 5 } } }
  };
  runs.Run(ExpectRolledBack);
  runs.Print("slow from 5 s");
}

TEST(Rollouts, VersionThatIsBadOnOneRouteIsRolledBack)
{
  for (std::size_t const route : { 0U, 1U, 2U }) {
    scenario runs{ { .mNew = { .mFailurePart = 0.3, .mRoute = route } } };
    runs.Run(ExpectRolledBack);
    runs.Print("fails on one route");
  }
}

TEST(Rollouts, VersionThatIsSlowOnOneRouteIsRolledBack)
{
  scenario runs{ { .mNew = {
                     .mSlowPart = 1, .mSlowFactor = 4, .mRoute = 1 } } };
  runs.Run(ExpectRolledBack);
  runs.Print("slow on one route");
}

// Guards against a small share that is spread over all new servers, so that
// none of them has the load of an old one.
TEST(Rollouts, VersionThatIsBadUnderLoadIsRolledBack)
{
  scenario runs{ { .mNew = { .mFailurePart = 0.5, .mAboveRunning = 4 } } };
  runs.Run(ExpectRolledBack);
  runs.Print("bad under load");
}

TEST(Rollouts, TooFewServersAreRolledBackAtTheEnd)
{
  for (std::size_t const servers : { 0U, 6U }) {
    scenario runs{ { .mNewServers = servers } };
    runs.Run([](simulation_result const& aResult, rollout_state const& aState) {
      ExpectRolledBack(aResult, aState);
      EXPECT_EQ(aState.mReason, rollout_reason::TooFewServers);
      EXPECT_GT(Seconds(aResult.mEndedAt), 10);
    });
    runs.Print("few servers");
  }
}

// Guards against blaming the new version for what the old one suffers too.
TEST(Rollouts, EquallyBadVersionsComplete)
{
  for (duration const from : { seconds{ 0 }, seconds{ 4 } }) {
    simulated_behaviour const behaviour{ .mFailurePart = 0.3, .mFrom = from };
    scenario runs{ { .mOld = behaviour, .mNew = behaviour } };
    runs.Run(ExpectCompleted);
    runs.Print("equally failing");
  }
}

TEST(Rollouts, EquallySlowVersionsComplete)
{
  simulated_behaviour const behaviour{ .mSlowPart = 1,
                                       .mSlowFactor = 4,
                                       .mFrom = seconds{ 4 } };
  scenario runs{ { .mOld = behaviour, .mNew = behaviour } };
  runs.Run(ExpectCompleted);
  runs.Print("equally slow");
}

TEST(Rollouts, RepeatedOrderChangesNothing)
{
  scenario runs{ { .mRepeatedAt = seconds{ 6 } } };
  runs.Run(ExpectCompleted);
  runs.Print("repeated order");
}

// Guards against a new leader that begins again, or that counts the exposure
// from its own start.
TEST(Rollouts, NextLeaderCompletesGoodVersion)
{
  for (duration const at : { seconds{ 2 }, seconds{ 5 } }) {
    scenario runs{ { .mLeaderFailsAt = at } };
    runs.Run(ExpectCompleted);
    runs.Print("takeover");
  }
}

TEST(Rollouts, NextLeaderRollsBackBadVersion)
{
  for (duration const at : { seconds{ 2 }, seconds{ 5 } }) {
    scenario runs{ { .mNew = { .mFailurePart = 0.3, .mFrom = seconds{ 4 } },
                     .mLeaderFailsAt = at } };
    runs.Run(ExpectRolledBack);
    runs.Print("takeover, bad from 4 s");
  }
}

TEST(Rollouts, CutOffInstancesStopSendingToTheTarget)
{
  scenario runs{ { .mNew = { .mFailurePart = 0.3, .mFrom = seconds{ 3 } },
                   .mCutOff = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10 },
                   .mCutOffFrom = seconds{ 3 } } };
  runs.Run([](simulation_result const& aResult, rollout_state const& aState) {
    ExpectRolledBack(aResult, aState);
    EXPECT_EQ(aResult.mLateCutOffSends, 0U);
  });
  runs.Print("cut off");
}

}
}

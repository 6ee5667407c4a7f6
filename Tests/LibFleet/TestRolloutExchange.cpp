#include "SimulatedFleet.h"

#include <gtest/gtest.h>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kSettled{ 8 };

/// A fleet of which every member follows a rollout.
class TestRolloutExchange : public testing::TestWithParam<int>
{
protected:
  void SetUp() override
  {
    for (auto& [id, member] : mFleet.Members())
      member->mDrained = { { .mOrder = 5, .mRevision = 7 } };
    mFleet.Run(kSettled);
  }

  // The members that see the order drained by all.
  std::size_t CountDrained()
  {
    std::size_t count = 0;
    for (auto& [id, member] : mFleet.Members())
      count += member->mRegistry.Drained(mFleet.Now(), member->mDrained) ==
                   std::vector<rollout_drain>{ { 5, 7 } }
                 ? 1
                 : 0;
    return count;
  }

  simulated_fleet mFleet{ GetParam() };
};

// Guards against old servers that are stopped under requests of an instance far
// from the leader.
TEST_P(TestRolloutExchange, OrderIsDrainedOnlyWhenEveryInstanceHasDrainedIt)
{
  EXPECT_EQ(CountDrained(), mFleet.Members().size());
  mFleet.Member(GetParam() - 1).mDrained.clear();
  mFleet.Run(seconds{ 1 });
  EXPECT_EQ(CountDrained(), 0U);
  // It follows an older step.
  mFleet.Member(GetParam() - 1).mDrained = { { .mOrder = 5, .mRevision = 6 } };
  mFleet.Run(seconds{ 1 });
  EXPECT_EQ(CountDrained(), 0U);
}

// Guards against a rollout that never ends because an instance is gone.
TEST_P(TestRolloutExchange, InstancesThatAreGoneDontCount)
{
  instance_id const gone = simulated_fleet::Name(GetParam() - 1);
  mFleet.Member(GetParam() - 1).mDrained.clear();
  mFleet.Run(seconds{ 1 });
  mFleet.Kill(gone);
  mFleet.Run(seconds{ 3 });
  EXPECT_EQ(CountDrained(), mFleet.Members().size());
}

// Guards against a judge that counts samples twice, or misses some.
TEST_P(TestRolloutExchange, SamplesReachEachOtherInstanceOnce)
{
  for (auto& [id, member] : mFleet.Members())
    member->mOwnUpdates.push_back(
      { .mRolloutSamples = {
          { .mOrder = 5, .mRoute = route_name{ "r" }, .mAnswers = 3 } } });
  mFleet.Run(seconds{ 2 });
  for (auto& [id, member] : mFleet.Members())
    EXPECT_EQ(member->mReceivedAnswers, 3 * (mFleet.Members().size() - 1))
      << id.Text();
}

// Guards against instances that go on with a bad version because they are far
// from the leader: those without new states for 1.5 s stop anyway.
TEST_P(TestRolloutExchange, StateOfTheLeaderReachesAllWithinASecond)
{
  rollout_notice const notice{
    .mLease = 3,
    .mState = { .mOrder = { .mPool = pool_name{ "p" }, .mNumber = 5 },
                .mPhase = rollout_phase::RolledBack,
                .mRevision = 4 }
  };
  mFleet.Member(GetParam() - 1).mStates.Merge(mFleet.Now(), notice);
  mFleet.Member(GetParam() - 1).mRollouts = { notice };
  mFleet.Run(seconds{ 1 });
  for (auto& [id, member] : mFleet.Members())
    EXPECT_EQ(member->mRollouts, std::vector{ notice }) << id.Text();
}

INSTANTIATE_TEST_SUITE_P(Sizes, TestRolloutExchange, testing::Values(2, 5, 40));

}
}

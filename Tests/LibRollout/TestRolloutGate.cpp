#include <LibRollout/FirstServers.h>
#include <LibRollout/RolloutGate.h>

#include <gtest/gtest.h>

#include <random>
#include <vector>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStart{ seconds{ 100 } };
pool_name const kPool{ "engines" };
software_version const kOld{ "old" };
software_version const kNew{ "new" };
software_version const kNewer{ "newer" };
std::vector<software_count> const kOldOnly{ { kOld, 60 } };
std::vector<software_count> const kBoth{ { kOld, 60 }, { kNew, 60 } };

rollout_state
State(rollout_phase aPhase, double aShare)
{
  return { .mOrder = { .mPool = kPool,
                       .mTarget = kNew,
                       .mDuration = seconds{ 12 },
                       .mNumber = 1 },
           .mPhase = aPhase,
           .mShare = aShare,
           .mRevision = 1,
           .mElapsed = seconds{ 1 } };
}

class TestRolloutGate : public testing::Test
{
protected:
  TestRolloutGate() { mGate.OnServers(kStart, kPool, kOldOnly); }

  void Apply(instant aNow, rollout_state const& aState)
  {
    mGate.Apply(aNow, std::span{ &aState, 1 });
  }

  allowed_software Choose(instant aNow,
                          std::span<software_count const> aCounts = kBoth)
  {
    return mGate.Choose(aNow, kPool, mRandom(), aCounts);
  }

  // How many of some requests in a second go to the target.
  std::size_t CountForTarget(instant aFrom, std::size_t aRequests)
  {
    std::size_t count = 0;
    for (std::size_t i = 0; i < aRequests; ++i) {
      duration const at = duration{ seconds{ 1 } } * i / aRequests;
      count += Choose(aFrom + at).mRule == software_rule::TargetOnly ? 1 : 0;
    }
    return count;
  }

  std::mt19937_64 mRandom{ 1 };
  rollout_gate mGate{ rollout_limits{} };
};

// Guards against requests to new servers whose entries are read before the
// order that names them.
TEST_F(TestRolloutGate, NewSoftwareWaitsForAnOrder)
{
  EXPECT_FALSE(Choose(kStart).Allows(kNew));
  EXPECT_TRUE(Choose(kStart).Allows(kOld));
  EXPECT_FALSE(Choose(kStart + milliseconds{ 2900 }).Allows(kNew));
  EXPECT_TRUE(Choose(kStart + milliseconds{ 3100 }).Allows(kNew));
}

TEST_F(TestRolloutGate, SoftwareThatWasThereFirstIsUsedAtOnce)
{
  rollout_gate fresh{ rollout_limits{} };
  EXPECT_TRUE(fresh.Choose(kStart, kPool, 1, kBoth).Allows(kNew));
}

TEST_F(TestRolloutGate, KeepsToItsPart)
{
  Apply(kStart, State(rollout_phase::Ramping, 0.5));
  std::size_t const count = CountForTarget(kStart, 1000);
  EXPECT_GT(count, 400U);
  rollout_state state = State(rollout_phase::Ramping, 0.5);
  std::size_t total = count;
  for (int second = 1; second <= 10; ++second) {
    state.mElapsed += seconds{ 1 };
    Apply(kStart + seconds{ second }, state);
    total += CountForTarget(kStart + seconds{ second }, 1000);
  }
  EXPECT_LE(total, 1200U);
}

TEST_F(TestRolloutGate, StopsWhenTheLeaderIsNotHeard)
{
  Apply(kStart, State(rollout_phase::Ramping, 0.5));
  EXPECT_GT(CountForTarget(kStart, 100), 0U);
  EXPECT_EQ(CountForTarget(kStart + milliseconds{ 1600 }, 100), 0U);
}

// Guards against taking the reports of other instances, which pass on the last
// state, for signs of the leader.
TEST_F(TestRolloutGate, KnownStateIsNotASignOfTheLeader)
{
  Apply(kStart, State(rollout_phase::Ramping, 0.5));
  Apply(kStart + milliseconds{ 1400 }, State(rollout_phase::Ramping, 0.5));
  EXPECT_EQ(CountForTarget(kStart + milliseconds{ 1600 }, 100), 0U);
}

// Guards against a request on an old server after this instance was counted as
// drained.
TEST_F(TestRolloutGate, DrainingInstanceDoesNotReturnToOthers)
{
  Apply(kStart, State(rollout_phase::Draining, 1));
  allowed_software const allowed = Choose(kStart + seconds{ 5 });
  EXPECT_TRUE(allowed.Allows(kNew));
  EXPECT_FALSE(allowed.Allows(kOld));
  allowed_software const repeat =
    mGate.ChooseRepeat(kStart + seconds{ 5 }, kPool, kBoth);
  EXPECT_FALSE(repeat.Allows(kOld));
}

TEST_F(TestRolloutGate, RepeatGoesToOtherSoftware)
{
  Apply(kStart, State(rollout_phase::Ramping, 1));
  allowed_software const repeat = mGate.ChooseRepeat(kStart, kPool, kBoth);
  EXPECT_TRUE(repeat.Allows(kOld));
  EXPECT_FALSE(repeat.Allows(kNew));
}

TEST_F(TestRolloutGate, EndedOrdersDecideForGood)
{
  Apply(kStart, State(rollout_phase::RolledBack, 0));
  EXPECT_FALSE(Choose(kStart + seconds{ 9 }).Allows(kNew));
  EXPECT_TRUE(Choose(kStart + seconds{ 9 }).Allows(kOld));
  rollout_state completed = State(rollout_phase::Completed, 1);
  completed.mOrder.mNumber = 2;
  Apply(kStart + seconds{ 10 }, completed);
  EXPECT_TRUE(Choose(kStart + seconds{ 20 }).Allows(kNew));
  EXPECT_FALSE(Choose(kStart + seconds{ 20 }).Allows(kOld));
}

TEST_F(TestRolloutGate, OnlyTargetServersLeftAreUsed)
{
  Apply(kStart, State(rollout_phase::Observing, 0));
  std::vector<software_count> const newOnly{ { kOld, 0 }, { kNew, 60 } };
  EXPECT_TRUE(Choose(kStart + seconds{ 2 }, newOnly).Allows(kNew));
}

TEST_F(TestRolloutGate, ReplacedTargetGetsNothing)
{
  Apply(kStart, State(rollout_phase::Ramping, 0.1));
  rollout_state next = State(rollout_phase::Observing, 0);
  next.mOrder.mTarget = kNewer;
  next.mOrder.mNumber = 2;
  next.mRevision = 1;
  Apply(kStart + seconds{ 1 }, next);
  std::vector<software_count> const all{ { kOld, 60 },
                                         { kNew, 60 },
                                         { kNewer, 60 } };
  allowed_software const allowed = Choose(kStart + seconds{ 5 }, all);
  EXPECT_TRUE(allowed.Allows(kOld));
  EXPECT_FALSE(allowed.Allows(kNew));
  EXPECT_FALSE(allowed.Allows(kNewer));
}

// Guards against an old state that arrives late.
TEST_F(TestRolloutGate, OlderStatesDoNotReplaceNewerOnes)
{
  rollout_state newer = State(rollout_phase::RolledBack, 0);
  newer.mRevision = 5;
  Apply(kStart, newer);
  Apply(kStart, State(rollout_phase::Draining, 1));
  EXPECT_FALSE(Choose(kStart).Allows(kNew));
}

// Guards against an instance that learns of the target's servers first and
// takes the others for software that came after the order.
TEST_F(TestRolloutGate, OthersThatAreSeenLaterAreUsed)
{
  rollout_gate fresh{ rollout_limits{} };
  rollout_state const state = State(rollout_phase::Observing, 0);
  fresh.Apply(kStart, std::span{ &state, 1 });
  std::vector<software_count> const newOnly{ { kNew, 60 } };
  fresh.OnServers(kStart, kPool, newOnly);
  allowed_software const allowed =
    fresh.Choose(kStart + seconds{ 1 }, kPool, 1, kBoth);
  EXPECT_TRUE(allowed.Allows(kOld));
  EXPECT_FALSE(allowed.Allows(kNew));
}

TEST(FirstServers, SmallerCountsAreTheBeginningOfLargerOnes)
{
  std::vector<backend_server_id> const ids{ backend_server_id{ "a" },
                                            backend_server_id{ "b" },
                                            backend_server_id{ "c" } };
  std::vector<backend_server_id> const all = FirstServers(ids, 0);
  std::vector<backend_server_id> const two = FirstServers(ids, 2);
  ASSERT_EQ(all.size(), 3U);
  ASSERT_EQ(two.size(), 2U);
  EXPECT_EQ(two[0], all[0]);
  EXPECT_EQ(two[1], all[1]);
}

}
}

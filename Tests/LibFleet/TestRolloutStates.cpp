#include <LibFleet/CombineDrained.h>
#include <LibFleet/RolloutLedger.h>
#include <LibFleet/RolloutStates.h>

#include <gtest/gtest.h>

#include <chrono>
#include <vector>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

instant const kNow = instant{} + seconds{ 100 };
pool_name const kPool{ "p" };

rollout_notice
Notice(std::uint64_t aLease,
       std::uint64_t aRevision,
       rollout_phase aPhase = rollout_phase::Observing,
       std::uint64_t aOrder = 5)
{
  return { .mLease = aLease,
           .mState = { .mOrder = { .mPool = kPool,
                                   .mTarget = software_version{ "v2" },
                                   .mDuration = seconds{ 12 },
                                   .mNumber = aOrder },
                       .mPhase = aPhase,
                       .mRevision = aRevision,
                       .mElapsed = milliseconds{ 100 * aRevision } } };
}

TEST(TestRolloutStates, NewerStatesReplaceOlderOnes)
{
  rollout_states states;
  EXPECT_TRUE(states.Merge(kNow, Notice(1, 2)));
  EXPECT_FALSE(states.Merge(kNow, Notice(1, 2)));
  EXPECT_FALSE(states.Merge(kNow, Notice(1, 1)));
  EXPECT_TRUE(states.Merge(kNow, Notice(1, 3)));
  EXPECT_EQ(states.Newest(kPool)->mState.mRevision, 3U);
}

// Guards against a leader that was paused, and goes on after another one has
// taken over.
TEST(TestRolloutStates, StatesOfASucceededLeaderAreIgnored)
{
  rollout_states states;
  states.Merge(kNow, Notice(1, 5));
  // The successor may not know the last step, and must be heard all the same.
  EXPECT_FALSE(states.Merge(kNow, Notice(2, 4)));
  EXPECT_FALSE(states.Merge(kNow, Notice(1, 9, rollout_phase::RolledBack)));
  EXPECT_EQ(states.Newest(kPool)->mState.mRevision, 5U);
  EXPECT_TRUE(states.Merge(kNow, Notice(2, 6)));
}

TEST(TestRolloutStates, RolloutThatHasEndedStaysEnded)
{
  rollout_states states;
  states.Merge(kNow, Notice(1, 5, rollout_phase::RolledBack));
  EXPECT_FALSE(states.Merge(kNow, Notice(2, 9, rollout_phase::Ramping)));
  EXPECT_EQ(states.Newest(kPool)->mState.mPhase, rollout_phase::RolledBack);
  EXPECT_FALSE(states.IsLeaderSilent(kNow + seconds{ 9 }));
}

TEST(TestRolloutStates, ReplacedOrderIsKeptBesideTheNewest)
{
  rollout_states states;
  states.Merge(kNow, Notice(1, 5, rollout_phase::RolledBack, 5));
  states.Merge(kNow, Notice(1, 1, rollout_phase::Observing, 8));
  EXPECT_EQ(states.OfPool(kPool).size(), 2U);
  EXPECT_EQ(states.Newest(kPool)->mState.mOrder.mNumber, 8U);
  for (std::uint64_t order = 9; order < 40; ++order)
    states.Merge(kNow, Notice(1, 1, rollout_phase::Observing, order));
  EXPECT_EQ(states.OfPool(kPool).size(), 4U);
}

// Guards against an instance that is cut off from the others and goes on with a
// version that they have rolled back.
TEST(TestRolloutStates, LeaderThatRepeatsItsStateOnlyIsSilent)
{
  rollout_states states;
  states.Merge(kNow, Notice(1, 1));
  instant const later = kNow + milliseconds{ 1'200 };
  states.Merge(later, Notice(1, 1));
  EXPECT_TRUE(states.IsLeaderSilent(later));
  rollout_notice alive = Notice(1, 1);
  alive.mState.mElapsed += milliseconds{ 50 };
  states.Merge(later, alive);
  EXPECT_FALSE(states.IsLeaderSilent(later));
}

// Guards against a completion while an instance that says nothing of the order
// may have requests on the old servers, such as one of an older build.
TEST(TestRolloutStates, OrderIsDrainedWhenAllReportIt)
{
  std::vector<rollout_drain> const both{ { 5, 7 }, { 6, 2 } };
  std::vector<rollout_drain> const other{ { 5, 8 } };
  EXPECT_EQ(CombineDrained(both, other),
            (std::vector<rollout_drain>{ { 5, 7 } }));
  EXPECT_EQ(CombineDrained(other, both),
            (std::vector<rollout_drain>{ { 5, 7 } }));
  EXPECT_TRUE(CombineDrained(both, {}).empty());
}

// Guards against a completion that operators act on before it is stored.
TEST(TestRolloutStates, CompletionCountsOnceItIsStored)
{
  rollout_states states;
  rollout_ledger ledger;
  states.Merge(kNow, Notice(1, 5, rollout_phase::Draining));
  ledger.OnStored(kPool, ledger.Wanted(states, kPool));
  EXPECT_FALSE(ledger.NextPool(states));
  ASSERT_TRUE(ledger.NextStatus());
  ledger.OnStatus(*ledger.NextStatus());
  ledger.Hold(Notice(1, 6, rollout_phase::Completed));
  EXPECT_EQ(ledger.NextPool(states), kPool);
  EXPECT_FALSE(ledger.NextStatus());
  std::vector<rollout_notice> const wanted = ledger.Wanted(states, kPool);
  EXPECT_EQ(wanted.back().mState.mPhase, rollout_phase::Completed);
  ledger.OnStored(kPool, wanted);
  EXPECT_TRUE(ledger.TakeHeld(kPool, wanted));
  EXPECT_EQ(ledger.NextStatus()->mPhase, rollout_phase::Completed);
}

// Steps of a running order change nothing for operators.
TEST(TestRolloutStates, StatusIsWrittenOnceForARunningOrder)
{
  rollout_states states;
  rollout_ledger ledger;
  for (std::uint64_t revision = 1; revision <= 3; ++revision) {
    states.Merge(kNow, Notice(1, revision));
    EXPECT_EQ(ledger.NextPool(states), kPool);
    ledger.OnStored(kPool, ledger.Wanted(states, kPool));
  }
  ledger.OnStatus(*ledger.NextStatus());
  EXPECT_FALSE(ledger.NextStatus());
  // A store that came back from an older copy gets all of it again.
  ledger.Clear();
  EXPECT_EQ(ledger.NextPool(states), kPool);
}

}
}

#include <LibRollout/RolloutPlan.h>

#include <gtest/gtest.h>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStart{ seconds{ 100 } };
constexpr duration kTick = milliseconds{ 100 };

rollout_order
Order(char const* aTarget, std::uint64_t aNumber)
{
  return { .mPool = pool_name{ "engines" },
           .mTarget = software_version{ aTarget },
           .mDuration = seconds{ 12 },
           .mNumber = aNumber };
}

rollout_inputs
GoodInputs()
{
  return { .mTarget = { .mServers = 60, .mSlots = 1920 },
           .mOthers = { .mServers = 60, .mSlots = 1920 },
           .mRate = 290,
           .mRunning = 200,
           .mTargetAnswers = 60 };
}

// Ticks until a time since kStart and returns the state then.
rollout_state
RunUntil(rollout_plan& aPlan,
         duration aFrom,
         duration aUntil,
         rollout_inputs const& aInputs)
{
  for (duration at = aFrom; at <= aUntil; at += kTick)
    static_cast<void>(aPlan.Tick(kStart + at, aInputs));
  return aPlan.State(kStart + aUntil);
}

// Guards against instances that learn of an order only once its target gets
// requests: until then they would use the target as any other software.
TEST(RolloutPlan, FirstTickReturnsAState)
{
  rollout_plan plan{ Order("new", 1), {}, duration::zero() };
  std::optional<rollout_state> const state =
    plan.Tick(kStart, { .mOthers = { .mServers = 60, .mSlots = 1920 } });
  ASSERT_TRUE(state);
  EXPECT_EQ(state->mShare, 0);
  EXPECT_EQ(state->mRevision, 1U);
}

// Guards against a small share over so many servers that each has less load
// than an old one, and against one that overloads them.
TEST(RolloutPlan, FirstServersHaveTheLoadOfOldOnes)
{
  rollout_plan plan{ Order("new", 1), {}, duration::zero() };
  rollout_inputs inputs = GoodInputs();
  inputs.mTargetAnswers = 10;
  rollout_state const state =
    RunUntil(plan, duration::zero(), seconds{ 4 }, inputs);
  ASSERT_GT(state.mServers, 0U);
  double const load = state.mShare / state.mServers;
  double const oldLoad = (1 - state.mShare) / 60;
  EXPECT_GE(load, oldLoad);
  EXPECT_LE(load, 2.1 * oldLoad);
}

TEST(RolloutPlan, DoesNotCompleteBeforeItIsDrained)
{
  rollout_plan plan{ Order("new", 1), {}, duration::zero() };
  rollout_inputs inputs = GoodInputs();
  inputs.mTargetAnswers = 100;
  EXPECT_EQ(RunUntil(plan, duration::zero(), seconds{ 11 }, inputs).mPhase,
            rollout_phase::Draining);
  inputs.mIsDrained = true;
  EXPECT_EQ(RunUntil(plan, seconds{ 11 }, seconds{ 11 }, inputs).mPhase,
            rollout_phase::Completed);
}

TEST(RolloutPlan, RollsBackWhileDraining)
{
  rollout_plan plan{ Order("new", 1), {}, duration::zero() };
  rollout_inputs inputs = GoodInputs();
  RunUntil(plan, duration::zero(), seconds{ 10 }, inputs);
  inputs.mVerdict = { .mKind = verdict_kind::Bad,
                      .mReason = rollout_reason::SlowEvents };
  rollout_state const state =
    RunUntil(plan, seconds{ 10 }, seconds{ 10 }, inputs);
  EXPECT_EQ(state.mPhase, rollout_phase::RolledBack);
  EXPECT_EQ(state.mReason, rollout_reason::SlowEvents);
  EXPECT_EQ(state.mShare, 0);
}

// Guards against moving all requests to a target that accepts requests and
// never answers, of which the judge hears nothing.
TEST(RolloutPlan, DoesNotMoveToATargetThatDoesNotAnswer)
{
  rollout_plan plan{ Order("new", 1), {}, duration::zero() };
  rollout_inputs inputs = GoodInputs();
  inputs.mTargetAnswers = 0;
  rollout_state const state =
    RunUntil(plan, duration::zero(), milliseconds{ 11500 }, inputs);
  EXPECT_EQ(state.mPhase, rollout_phase::RolledBack);
  EXPECT_LE(plan.Exposure(), 0.1 * 290 * 12 + 50);
}

TEST(RolloutPlan, ServersThatComeUpLateAreUsed)
{
  rollout_plan plan{ Order("new", 1), {}, duration::zero() };
  rollout_inputs inputs = GoodInputs();
  inputs.mTarget = {};
  inputs.mTargetAnswers = 0;
  RunUntil(plan, duration::zero(), seconds{ 7 }, inputs);
  inputs = GoodInputs();
  inputs.mTargetAnswers = 60;
  EXPECT_EQ(RunUntil(plan, seconds{ 7 }, seconds{ 11 }, inputs).mPhase,
            rollout_phase::Draining);
}

TEST(RolloutPlan, RepeatedOrderIsIgnored)
{
  rollout_plan plan{ Order("new", 1), {}, duration::zero() };
  RunUntil(plan, duration::zero(), seconds{ 6 }, GoodInputs());
  rollout_state const before = plan.State(kStart + seconds{ 6 });
  EXPECT_FALSE(
    plan.Replace(kStart + seconds{ 6 }, Order("new", 2), duration::zero()));
  EXPECT_EQ(plan.State(kStart + seconds{ 6 }), before);
}

// Guards against a version that was rolled back and is tried again because its
// order arrives twice.
TEST(RolloutPlan, RepeatedOrderAfterRollbackIsIgnored)
{
  rollout_plan plan{ Order("new", 1), {}, duration::zero() };
  rollout_inputs inputs = GoodInputs();
  inputs.mVerdict = { .mKind = verdict_kind::Bad,
                      .mReason = rollout_reason::Failures };
  RunUntil(plan, duration::zero(), seconds{ 5 }, inputs);
  EXPECT_TRUE(plan.IsRepeated(kStart + seconds{ 6 }, Order("new", 2)));
  EXPECT_FALSE(plan.IsRepeated(kStart + seconds{ 13 }, Order("new", 2)));
}

TEST(RolloutPlan, ReplacedOrderIsRolledBack)
{
  rollout_plan plan{ Order("new", 1), {}, duration::zero() };
  RunUntil(plan, duration::zero(), seconds{ 6 }, GoodInputs());
  std::optional<rollout_state> const ended =
    plan.Replace(kStart + seconds{ 6 }, Order("newer", 2), duration::zero());
  ASSERT_TRUE(ended);
  EXPECT_EQ(ended->mPhase, rollout_phase::RolledBack);
  EXPECT_EQ(ended->mReason, rollout_reason::Replaced);
  EXPECT_EQ(ended->mOrder, Order("new", 1));
  rollout_state const next = plan.State(kStart + seconds{ 6 });
  EXPECT_EQ(next.mOrder, Order("newer", 2));
  EXPECT_EQ(next.mElapsed, duration::zero());
}

// Guards against a new leader that starts the order's time again.
TEST(RolloutPlan, RestoredStateKeepsTimeAndRevision)
{
  rollout_plan first{ Order("new", 1), {}, duration::zero() };
  rollout_state const left =
    RunUntil(first, duration::zero(), seconds{ 9 }, GoodInputs());
  ASSERT_EQ(left.mPhase, rollout_phase::Draining);
  rollout_plan second{ Order("new", 1), {}, seconds{ 8 } };
  second.Restore(kStart + seconds{ 9 }, left);
  EXPECT_EQ(second.State(kStart + seconds{ 10 }).mElapsed, seconds{ 10 });
  EXPECT_EQ(second.State(kStart + seconds{ 10 }).mRevision, left.mRevision);
  rollout_inputs inputs = GoodInputs();
  inputs.mIsDrained = true;
  std::optional<rollout_state> const next =
    second.Tick(kStart + seconds{ 10 }, inputs);
  ASSERT_TRUE(next);
  EXPECT_EQ(next->mPhase, rollout_phase::Completed);
  EXPECT_EQ(next->mRevision, left.mRevision + 1);
}

TEST(RolloutPlan, RestoreIgnoresOtherOrders)
{
  rollout_plan plan{ Order("newer", 2), {}, duration::zero() };
  plan.Restore(kStart,
               { .mOrder = Order("new", 1),
                 .mPhase = rollout_phase::Completed,
                 .mRevision = 9 });
  EXPECT_EQ(plan.State(kStart).mPhase, rollout_phase::Observing);
}

}
}

#include <LibRollout/BinomialTail.h>
#include <LibRollout/ExposureBudget.h>
#include <LibRollout/PoissonTail.h>
#include <LibRollout/RolloutJudge.h>

#include <gtest/gtest.h>

#include <cmath>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStart{ seconds{ 100 } };

rollout_sample
Sample(rollout_side aSide,
       std::uint32_t aAnswers,
       std::uint32_t aFailures,
       duration aFirstEvent = milliseconds{ 200 })
{
  rollout_sample sample{ .mOrder = 1,
                         .mRoute = route_name{ "chat" },
                         .mSide = aSide,
                         .mAnswers = aAnswers,
                         .mFailures = aFailures };
  for (std::uint32_t i = aFailures; i < aAnswers; ++i)
    sample.mFirstEvent[0].Add(aFirstEvent);
  return sample;
}

TEST(RolloutJudge, NeedsAnswersOfBothSides)
{
  rollout_judge judge{ 1 };
  for (int i = 0; i < 20; ++i)
    judge.Add(kStart + i * milliseconds{ 250 },
              Sample(rollout_side::Target, 5, 5));
  EXPECT_EQ(judge.Verdict(kStart + seconds{ 5 }).mKind, verdict_kind::NoWorse);
  EXPECT_EQ(judge.BadAnswers(), 100U);
}

TEST(RolloutJudge, FindsFailures)
{
  rollout_judge judge{ 1 };
  for (int i = 0; i < 8; ++i) {
    instant const at = kStart + i * milliseconds{ 250 };
    judge.Add(at, Sample(rollout_side::Others, 20, 0));
    judge.Add(at, Sample(rollout_side::Target, 3, 1));
  }
  rollout_verdict const verdict = judge.Verdict(kStart + seconds{ 2 });
  EXPECT_EQ(verdict.mKind, verdict_kind::Bad);
  EXPECT_EQ(verdict.mReason, rollout_reason::Failures);
  EXPECT_EQ(verdict.mRoute, route_name{ "chat" });
}

// Guards against a rollback for the requests that break when one machine stops.
TEST(RolloutJudge, FailuresOfOneMomentAreNotEnough)
{
  rollout_judge judge{ 1 };
  for (int i = 0; i < 8; ++i) {
    instant const at = kStart + i * milliseconds{ 250 };
    judge.Add(at, Sample(rollout_side::Others, 20, 0));
    judge.Add(at, Sample(rollout_side::Target, 6, i == 4 ? 6 : 0));
  }
  EXPECT_NE(judge.Verdict(kStart + seconds{ 2 }).mKind, verdict_kind::Bad);
}

// Guards against comparing a bad time that both sides have with an earlier,
// better time of the other software, when the target had fewer requests.
TEST(RolloutJudge, ComparesTheSameTime)
{
  rollout_judge judge{ 1 };
  for (int i = 0; i < 40; ++i) {
    instant const at = kStart + i * milliseconds{ 250 };
    bool const isBadTime = i >= 20;
    judge.Add(at, Sample(rollout_side::Others, 40, isBadTime ? 16 : 0));
    judge.Add(
      at, Sample(rollout_side::Target, isBadTime ? 20 : 2, isBadTime ? 8 : 0));
    EXPECT_NE(judge.Verdict(at).mKind, verdict_kind::Bad) << i;
  }
}

TEST(RolloutJudge, FindsSlowFirstEvents)
{
  rollout_judge judge{ 1 };
  for (int i = 0; i < 8; ++i) {
    instant const at = kStart + i * milliseconds{ 250 };
    judge.Add(at, Sample(rollout_side::Others, 20, 0));
    judge.Add(at, Sample(rollout_side::Target, 3, 0, milliseconds{ 620 }));
  }
  rollout_verdict const verdict = judge.Verdict(kStart + seconds{ 2 });
  EXPECT_EQ(verdict.mKind, verdict_kind::Bad);
  EXPECT_EQ(verdict.mReason, rollout_reason::SlowFirstEvent);
}

// Guards against blaming a target for the load that the rollout gives it.
TEST(RolloutJudge, LittleSlowerIsNotBad)
{
  rollout_judge judge{ 1 };
  for (int i = 0; i < 40; ++i) {
    instant const at = kStart + i * milliseconds{ 250 };
    judge.Add(at, Sample(rollout_side::Others, 20, 0));
    judge.Add(at, Sample(rollout_side::Target, 10, 0, milliseconds{ 320 }));
  }
  EXPECT_EQ(judge.Verdict(kStart + seconds{ 10 }).mKind, verdict_kind::NoWorse);
}

TEST(RolloutJudge, IgnoresOtherOrders)
{
  rollout_judge judge{ 2 };
  judge.Add(kStart, Sample(rollout_side::Target, 10, 10));
  EXPECT_EQ(judge.TargetAnswers(), 0U);
}

TEST(PoissonTail, BoundsTheExactTail)
{
  double exact = 0;
  for (int count = 5; count < 40; ++count)
    exact += std::exp(count * std::log(1.5) - 1.5 - std::lgamma(count + 1.0));
  EXPECT_GE(PoissonTail(1.5, 5), exact);
  EXPECT_LE(PoissonTail(1.5, 5), 1.3 * exact);
  EXPECT_EQ(PoissonTail(5, 5), 1);
}

TEST(BinomialTail, BoundsTheExactTail)
{
  // All of 10 events of probability 0.6.
  double const exact = std::pow(0.6, 10);
  EXPECT_NEAR(BinomialTail(6, 10, 10), exact, 1e-12);
  // 9 or 10 of them.
  EXPECT_GE(BinomialTail(6, 10, 9), exact + 10 * std::pow(0.6, 9) * 0.4);
  EXPECT_EQ(BinomialTail(6, 10, 6), 1);
}

TEST(ExposureBudget, StaysBelowShareAndSlack)
{
  exposure_budget const budget{ 0.1, 50 };
  EXPECT_LE(budget.Total({ .mRate = 290, .mLeft = seconds{ 12 } }),
            0.1 * 290 * 12 + 50);
  EXPECT_NEAR(budget.Left({ .mArrived = 1000, .mSent = 60 }), 65, 0.001);
}

}
}

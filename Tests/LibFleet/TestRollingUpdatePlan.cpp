#include <LibFleet/RollingUpdatePlan.h>

#include <gtest/gtest.h>

namespace lycheeseam {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

instant const kNow = instant{} + seconds{ 100 };
model_name const kModel{ "m" };

std::vector<registered_server>
Servers(std::size_t aCount)
{
  std::vector<registered_server> servers;
  for (std::size_t index = 0; index < aCount; ++index)
    servers.push_back({ .mId = backend_server_id{ std::to_string(index) },
                        .mIncarnation = incarnation{ 1 },
                        .mPool = pool_name{ "p" },
                        .mModels = { { .mModel = kModel, .mVersion = 1 } } });
  return servers;
}

std::vector<target_weights>
Named(std::uint64_t aVersion)
{
  return { { .mModel = kModel,
             .mVersions = { { .mVersion = aVersion, .mLearnedAt = kNow } } } };
}

constexpr turnover_timing kTiming{ .mFirstPart = 0.5, .mLaterPart = 0.5 };

TEST(TestTurnoverPlan, NothingTurnsWithoutNewerWeights)
{
  turnover_plan plan{ kTiming };
  plan.Update(kNow, Servers(4), Named(1));
  EXPECT_TRUE(plan.IsIdle());
}

TEST(TestTurnoverPlan, APartOfThePoolTurnsAtATime)
{
  turnover_plan plan{ kTiming };
  std::vector<registered_server> servers = Servers(6);
  plan.Update(kNow, servers, Named(2));
  EXPECT_EQ(plan.Turning().size(), 3U);
  servers[0].mModels[0].mVersion = 2;
  plan.Update(kNow, servers, Named(2));
  EXPECT_EQ(plan.Turning().size(), 3U);
  EXPECT_FALSE(plan.Turning().contains(servers[0].mId));
}

TEST(TestTurnoverPlan, APoolOfOneTurnsToo)
{
  turnover_plan plan{ { .mFirstPart = 0.1, .mLaterPart = 0.1 } };
  plan.Update(kNow, Servers(1), Named(2));
  EXPECT_EQ(plan.Turning().size(), 1U);
}

// Found on quiet-1: orders were refused since the count of accepted orders
// had not been asked for.
TEST(TestTurnoverPlan, AnOrderFollowsNoticeAndQuestion)
{
  turnover_plan plan{ kTiming };
  std::vector<registered_server> const servers = Servers(1);
  plan.Update(kNow, servers, Named(2));
  EXPECT_EQ(plan.DueQuestions(kNow).size(), 1U);
  plan.OnAsked(kNow, servers[0].mId);
  instant const later = kNow + kTiming.mNotice;
  EXPECT_TRUE(plan.DueOrders(later).empty());
  plan.OnReport(later, servers[0].mId, { .mOrders = 7 });
  EXPECT_EQ(plan.DueOrders(later).size(), 1U);
  EXPECT_EQ(plan.OrdersOf(servers[0].mId), 7U);
  EXPECT_EQ(plan.TargetOf(servers[0].mId).mVersion, 2U);
  plan.OnOrdered(later, servers[0].mId);
  EXPECT_TRUE(plan.DueOrders(later).empty());
}

TEST(TestTurnoverPlan, AnOrderWithoutEffectIsRepeated)
{
  turnover_plan plan{ kTiming };
  std::vector<registered_server> const servers = Servers(1);
  plan.Update(kNow, servers, Named(2));
  plan.OnReport(kNow, servers[0].mId, { .mOrders = 0 });
  plan.OnOrdered(kNow, servers[0].mId);
  plan.OnAnswer(kNow, servers[0].mId, order_answer::Unknown);
  engine_report const calm{ .mModels = {
                              { .mModel = kModel, .mVersion = 1 } } };
  plan.OnReport(kNow + milliseconds{ 500 }, servers[0].mId, calm);
  EXPECT_TRUE(plan.DueOrders(kNow + milliseconds{ 500 }).empty());
  plan.OnReport(kNow + seconds{ 2 }, servers[0].mId, calm);
  EXPECT_EQ(plan.DueOrders(kNow + seconds{ 2 }).size(), 1U);
}

TEST(TestTurnoverPlan, ABusyEngineIsAskedAnew)
{
  turnover_plan plan{ kTiming };
  std::vector<registered_server> const servers = Servers(1);
  plan.Update(kNow, servers, Named(2));
  plan.OnReport(kNow, servers[0].mId, { .mOrders = 0 });
  plan.OnOrdered(kNow, servers[0].mId);
  plan.OnAnswer(kNow, servers[0].mId, order_answer::Busy);
  instant const later = kNow + seconds{ 1 };
  EXPECT_TRUE(plan.DueOrders(later).empty());
  EXPECT_EQ(plan.DueQuestions(later).size(), 1U);
}

TEST(TestTurnoverPlan, AServerWhoseAddressIsAnothersHoldsNoPlace)
{
  turnover_plan plan{ kTiming };
  std::vector<registered_server> const servers = Servers(1);
  plan.Update(kNow, servers, Named(2));
  plan.OnAnswer(kNow, servers[0].mId, order_answer::Misdirected);
  EXPECT_TRUE(plan.IsIdle());
}

TEST(TestTurnoverPlan, ARestartedOrLeavingServerEndsItsTurn)
{
  turnover_plan plan{ kTiming };
  std::vector<registered_server> servers = Servers(2);
  plan.Update(kNow, servers, Named(2));
  ASSERT_EQ(plan.Turning().size(), 1U);
  for (registered_server& server : servers)
    server.mStage = server_stage::Leaving;
  plan.Update(kNow, servers, Named(2));
  EXPECT_TRUE(plan.IsIdle());
}

TEST(TestTurnoverPlan, TheOldestWeightsTurnFirst)
{
  turnover_plan plan{ { .mFirstPart = 0.3, .mLaterPart = 0.3 } };
  std::vector<registered_server> servers = Servers(3);
  servers[0].mModels[0].mVersion = 2;
  servers[1].mModels[0].mVersion = 2;
  plan.Update(kNow, servers, Named(3));
  EXPECT_TRUE(plan.Turning().contains(servers[2].mId));
}

}

}

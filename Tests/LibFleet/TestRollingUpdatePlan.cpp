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
Target(std::uint64_t aVersion)
{
  return { { .mModel = kModel,
             .mVersions = { { .mVersion = aVersion, .mLearnedAt = kNow } } } };
}

constexpr rolling_update_timing kTiming{ .mInitialShare = 0.5,
                                         .mLaterShare = 0.5 };

TEST(TestRollingUpdatePlan, NoServerUpdatesWithoutNewerWeights)
{
  rolling_update_plan plan{ kTiming };
  plan.Update(kNow, Servers(4), Target(1));
  EXPECT_TRUE(plan.IsIdle());
}

TEST(TestRollingUpdatePlan, OnlyAShareOfThePoolUpdatesAtATime)
{
  rolling_update_plan plan{ kTiming };
  std::vector<registered_server> servers = Servers(6);
  plan.Update(kNow, servers, Target(2));
  EXPECT_EQ(plan.Updating().size(), 3U);
  servers[0].mModels[0].mVersion = 2;
  plan.Update(kNow, servers, Target(2));
  EXPECT_EQ(plan.Updating().size(), 3U);
  EXPECT_FALSE(plan.Updating().contains(servers[0].mId));
}

TEST(TestRollingUpdatePlan, PoolOfOneServerUpdatesToo)
{
  rolling_update_plan plan{ { .mInitialShare = 0.1, .mLaterShare = 0.1 } };
  plan.Update(kNow, Servers(1), Target(2));
  EXPECT_EQ(plan.Updating().size(), 1U);
}

// Orders were refused because the count of accepted orders had not been
// requested; found on quiet-1.
TEST(TestRollingUpdatePlan, OrderWaitsForTheNoticeAndTheEngineState)
{
  rolling_update_plan plan{ kTiming };
  std::vector<registered_server> const servers = Servers(1);
  plan.Update(kNow, servers, Target(2));
  EXPECT_EQ(plan.DueStateRequests(kNow).size(), 1U);
  plan.OnStateRequested(kNow, servers[0].mId);
  instant const later = kNow + kTiming.mNoticeTime;
  EXPECT_TRUE(plan.DueOrders(later).empty());
  plan.OnReport(later, servers[0].mId, { .mOrders = 7 });
  EXPECT_EQ(plan.DueOrders(later).size(), 1U);
  EXPECT_EQ(plan.OrdersOf(servers[0].mId), 7U);
  EXPECT_EQ(plan.TargetOf(servers[0].mId).mVersion, 2U);
  plan.OnOrdered(later, servers[0].mId);
  EXPECT_TRUE(plan.DueOrders(later).empty());
}

TEST(TestRollingUpdatePlan, OrderWithoutEffectIsRetried)
{
  rolling_update_plan plan{ kTiming };
  std::vector<registered_server> const servers = Servers(1);
  plan.Update(kNow, servers, Target(2));
  plan.OnReport(kNow, servers[0].mId, { .mOrders = 0 });
  plan.OnOrdered(kNow, servers[0].mId);
  plan.OnAnswer(kNow, servers[0].mId, order_answer::Unknown);
  engine_report const idle{ .mModels = {
                              { .mModel = kModel, .mVersion = 1 } } };
  plan.OnReport(kNow + milliseconds{ 500 }, servers[0].mId, idle);
  EXPECT_TRUE(plan.DueOrders(kNow + milliseconds{ 500 }).empty());
  plan.OnReport(kNow + seconds{ 2 }, servers[0].mId, idle);
  EXPECT_EQ(plan.DueOrders(kNow + seconds{ 2 }).size(), 1U);
}

TEST(TestRollingUpdatePlan, StateOfABusyEngineIsRequestedAgain)
{
  rolling_update_plan plan{ kTiming };
  std::vector<registered_server> const servers = Servers(1);
  plan.Update(kNow, servers, Target(2));
  plan.OnReport(kNow, servers[0].mId, { .mOrders = 0 });
  plan.OnOrdered(kNow, servers[0].mId);
  plan.OnAnswer(kNow, servers[0].mId, order_answer::Busy);
  instant const later = kNow + seconds{ 1 };
  EXPECT_TRUE(plan.DueOrders(later).empty());
  EXPECT_EQ(plan.DueStateRequests(later).size(), 1U);
}

TEST(TestRollingUpdatePlan, MisdirectedOrderEndsTheUpdate)
{
  rolling_update_plan plan{ kTiming };
  std::vector<registered_server> const servers = Servers(1);
  plan.Update(kNow, servers, Target(2));
  plan.OnAnswer(kNow, servers[0].mId, order_answer::Misdirected);
  EXPECT_TRUE(plan.IsIdle());
}

TEST(TestRollingUpdatePlan, LeavingServerEndsItsUpdate)
{
  rolling_update_plan plan{ kTiming };
  std::vector<registered_server> servers = Servers(2);
  plan.Update(kNow, servers, Target(2));
  ASSERT_EQ(plan.Updating().size(), 1U);
  for (registered_server& server : servers)
    server.mStage = server_stage::Leaving;
  plan.Update(kNow, servers, Target(2));
  EXPECT_TRUE(plan.IsIdle());
}

TEST(TestRollingUpdatePlan, ServersWithTheOldestWeightsUpdateFirst)
{
  rolling_update_plan plan{ { .mInitialShare = 0.3, .mLaterShare = 0.3 } };
  std::vector<registered_server> servers = Servers(3);
  servers[0].mModels[0].mVersion = 2;
  servers[1].mModels[0].mVersion = 2;
  plan.Update(kNow, servers, Target(3));
  EXPECT_TRUE(plan.Updating().contains(servers[2].mId));
}

}

}

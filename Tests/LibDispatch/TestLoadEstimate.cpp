#include <LibDispatch/ServerTable.h>

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

instant const kNow{ seconds{ 100 } };
constexpr token_count kTokens = 100;
pool_name const kPool{ "p" };

reported_load
Load(std::optional<double> aSlowdown, instant aAt = kNow)
{
  return { .mRunning = 10,
           .mWaiting = 4,
           .mSlots = 12,
           .mSlowdown = aSlowdown,
           .mReportedAt = aAt };
}

// A server with two requests of this instance among those that it reports.
tracked_server
MakeServer(std::optional<double> aSlowdown)
{
  tracked_server server;
  server.mRegistered.mSlots = 12;
  server.OnStart(kNow, kTokens);
  server.OnStart(kNow, kTokens);
  server.OnLoad(Load(aSlowdown));
  return server;
}

// Guards against different decisions in deployments whose servers send three
// figures.
TEST(TestLoadEstimate, WithoutASlowdownOthersCountInFullForASecond)
{
  tracked_server const server = MakeServer(std::nullopt);
  for (milliseconds const age :
       { milliseconds{ 0 }, milliseconds{ 999 }, milliseconds{ 1'000 } }) {
    EXPECT_EQ(server.EstimatedRequests(kNow + age), 14U) << age.count();
    EXPECT_EQ(server.Estimate(kNow + age).mRequests, 14) << age.count();
    EXPECT_EQ(server.Estimate(kNow + age).mWaiting, 4) << age.count();
    EXPECT_EQ(server.Estimate(kNow + age).mSlowdown, 1) << age.count();
  }
  instant const late = kNow + milliseconds{ 1'001 };
  EXPECT_EQ(server.EstimatedRequests(late), 2U);
  EXPECT_EQ(server.Estimate(late).mRequests, 2);
  EXPECT_FALSE(server.Estimate(late).IsReported());
}

// Guards against all instances taking a server for idle at the same moment.
TEST(TestLoadEstimate, WithASlowdownOthersShrinkSmoothly)
{
  tracked_server const server = MakeServer(2.5);
  load_estimate const fresh = server.Estimate(kNow);
  EXPECT_DOUBLE_EQ(fresh.mRequests, 14);
  EXPECT_DOUBLE_EQ(fresh.mWaiting, 4);
  EXPECT_DOUBLE_EQ(fresh.mSlowdown, 2.5);
  EXPECT_EQ(fresh.mAge, duration{});
  double last = fresh.mRequests;
  for (milliseconds age{ 10 }; age <= seconds{ 1 }; age += milliseconds{ 10 }) {
    double const requests = server.Estimate(kNow + age).mRequests;
    EXPECT_LT(requests, last);
    EXPECT_LT(last - requests, 0.2);
    last = requests;
  }
  EXPECT_NEAR(last, 2, 1e-9);
  EXPECT_EQ(server.EstimatedRequests(kNow + milliseconds{ 500 }), 8U);
}

// Guards against an instance that forgets what it has sent itself.
TEST(TestLoadEstimate, OwnRequestsSinceTheReportCountInFull)
{
  for (std::optional<double> const slowdown :
       { std::optional<double>{}, std::optional{ 1.0 } }) {
    tracked_server server = MakeServer(slowdown);
    instant const later = kNow + milliseconds{ 400 };
    double const before = server.Estimate(later).mRequests;
    server.OnStart(later, kTokens);
    EXPECT_NEAR(server.Estimate(later).mRequests, before + 1, 1e-9);
    instant const expired = kNow + seconds{ 3 };
    EXPECT_EQ(server.Estimate(expired).mRequests, 3);
    EXPECT_EQ(server.Estimate(expired).mTokens, 3 * kTokens);
  }
}

// Guards against a report of fewer requests than this instance runs that
// underflows.
TEST(TestLoadEstimate, AReportOfFewerRequestsThanOwnAddsNone)
{
  tracked_server server = MakeServer(1.0);
  server.OnLoad({ .mRunning = 1, .mSlowdown = 1.0, .mReportedAt = kNow });
  EXPECT_EQ(server.Estimate(kNow).mRequests, 2);
}

class TestAdaptivePool : public testing::Test
{
protected:
  TestAdaptivePool()
  {
    fleet_view view;
    for (int index = 0; index < 3; ++index)
      view.mServers.push_back(
        { .mId = backend_server_id{ "s-" + std::to_string(index) },
          .mPool = kPool });
    mTable.Apply(view);
  }

  server_table mTable;
};

TEST_F(TestAdaptivePool, ASlowdownWithinTenSecondsMakesItAdaptive)
{
  EXPECT_FALSE(mTable.IsAdaptive(kNow, kPool));
  tracked_server& server = *mTable.Pool(kPool)[1];
  server.OnLoad(Load(std::nullopt));
  EXPECT_FALSE(mTable.IsAdaptive(kNow, kPool));
  server.OnLoad(Load(1.0));
  EXPECT_TRUE(mTable.IsAdaptive(kNow + seconds{ 10 }, kPool));
  EXPECT_FALSE(mTable.IsAdaptive(kNow + milliseconds{ 10'001 }, kPool));
  EXPECT_FALSE(mTable.IsAdaptive(kNow, pool_name{ "other" }));
}

// Guards against a mean that only the servers with answers follow.
TEST_F(TestAdaptivePool, SpeedsAreRelativeToTheMeanOfAllServers)
{
  tracked_server& fast = *mTable.Pool(kPool)[0];
  tracked_server& slow = *mTable.Pool(kPool)[1];
  tracked_server& idle = *mTable.Pool(kPool)[2];
  for (int answer = 0; answer < 2'000; ++answer) {
    mTable.LearnSpeed(fast,
                      { .mFirstEvent = milliseconds{ 60 }, .mTokens = 1'000 });
    mTable.LearnSpeed(slow,
                      { .mFirstEvent = milliseconds{ 120 }, .mTokens = 1'000 });
  }
  EXPECT_NEAR(fast.Estimate(kNow).mSpeed / slow.Estimate(kNow).mSpeed, 2, 0.1);
  EXPECT_NEAR(fast.mSpeed.Relative() * slow.mSpeed.Relative() *
                idle.mSpeed.Relative(),
              1,
              1e-9);
}

}
}

#include <LibDispatch/RecentStarts.h>
#include <LibDispatch/ServerTable.h>

#include <gtest/gtest.h>

#include <array>
#include <chrono>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

instant const kNow{ seconds{ 100 } };
pool_name const kPool{ "p" };

class TestPeerLoads : public testing::Test
{
protected:
  TestPeerLoads()
  {
    fleet_view view;
    view.mServers.push_back(
      { .mId = backend_server_id{ "s-1" }, .mPool = kPool });
    mTable.Apply(view);
  }

  tracked_server& Server() { return *mTable.Pool(kPool)[0]; }

  void ApplyLoad(std::uint32_t aRunning, instant aAt)
  {
    std::array const loads{ observed_load{ .mServer = Server().mSeed,
                                           .mLoad = { .mRunning = aRunning,
                                                      .mSlowdown = 1.5,
                                                      .mReportedAt = aAt } },
                            observed_load{ .mServer = Server().mSeed + 1,
                                           .mLoad = { .mRunning = 99,
                                                      .mReportedAt = aAt } } };
    mTable.ApplyLoads(loads);
  }

  server_table mTable;
};

TEST_F(TestPeerLoads, ALoadOfAPeerIsAppliedWithItsAge)
{
  ApplyLoad(10, kNow - milliseconds{ 200 });
  load_estimate const estimate = Server().Estimate(kNow);
  EXPECT_EQ(estimate.mAge, milliseconds{ 200 });
  EXPECT_NEAR(estimate.mRequests, 8, 1e-9);
  EXPECT_EQ(estimate.mSlowdown, 1.5);
  EXPECT_TRUE(mTable.IsAdaptive(kNow, kPool));
}

// Guards against fresh knowledge that older knowledge replaces.
TEST_F(TestPeerLoads, OnlyANewerLoadIsApplied)
{
  Server().OnLoad({ .mRunning = 4, .mSlowdown = 1.0, .mReportedAt = kNow });
  ApplyLoad(10, kNow - milliseconds{ 1 });
  ApplyLoad(10, kNow);
  EXPECT_EQ(Server().Estimate(kNow).mRequests, 4);
  ApplyLoad(10, kNow + milliseconds{ 1 });
  EXPECT_EQ(Server().mLoad->mRunning, 10U);
}

// Guards against counting own requests as part of a report that was made before
// they were sent.
TEST_F(TestPeerLoads, OwnRequestsSentAfterTheReportAreAdded)
{
  Server().OnStart(kNow - milliseconds{ 300 }, 100);
  Server().OnStart(kNow - milliseconds{ 50 }, 100);
  ApplyLoad(10, kNow - milliseconds{ 100 });
  // One of the ten is this instance's; nine tenths of the others still run.
  EXPECT_NEAR(Server().Estimate(kNow).mRequests, 2 + 9 * 0.9, 1e-9);
}

TEST(TestRecentStarts, CountsThoseAfterAMoment)
{
  recent_starts starts;
  for (int index = 0; index < 10; ++index)
    starts.Add(kNow + milliseconds{ index * 10 });
  EXPECT_EQ(starts.CountAfter(kNow - milliseconds{ 1 }), 10U);
  EXPECT_EQ(starts.CountAfter(kNow + milliseconds{ 50 }), 4U);
  EXPECT_EQ(starts.CountAfter(kNow + seconds{ 1 }), 0U);
  // Those that no report can be older than are forgotten.
  starts.Add(kNow + seconds{ 3 });
  EXPECT_EQ(starts.CountAfter(kNow - seconds{ 1 }), 1U);
}

}
}

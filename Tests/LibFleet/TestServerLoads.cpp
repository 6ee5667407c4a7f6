#include <LibFleet/LoadNotices.h>
#include <LibFleet/ServerLoads.h>

#include <gtest/gtest.h>

#include <array>
#include <chrono>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

instant const kNow{ seconds{ 100 } };

observed_load
Load(std::uint32_t aRunning, instant aAt, std::uint64_t aServer = 7)
{
  return { .mServer = aServer,
           .mLoad = {
             .mRunning = aRunning, .mSlowdown = 1.0, .mReportedAt = aAt } };
}

std::size_t
Merge(server_loads& aLoads, observed_load const& aObserved)
{
  return aLoads.Merge({ &aObserved, 1 }).size();
}

TEST(TestServerLoads, TheNewestLoadCounts)
{
  server_loads loads;
  EXPECT_EQ(Merge(loads, Load(3, kNow)), 1U);
  EXPECT_EQ(Merge(loads, Load(5, kNow - milliseconds{ 1 })), 0U);
  EXPECT_EQ(Merge(loads, Load(4, kNow + milliseconds{ 1 })), 1U);
  ASSERT_EQ(loads.List().size(), 1U);
  EXPECT_EQ(loads.List()[0].mLoad.mRunning, 4U);
}

// Guards against two instances that keep passing the same load to each other, a
// little younger each time.
TEST(TestServerLoads, ALoadIsNewsOnce)
{
  server_loads loads;
  Merge(loads, Load(3, kNow));
  std::vector<load_notice> const notices =
    MakeLoadNotices(kNow + milliseconds{ 200 }, loads.List());
  ASSERT_EQ(notices.size(), 1U);
  EXPECT_EQ(notices[0].mAgeMs, 200);
  EXPECT_EQ(
    loads.Merge(ReadLoadNotices(kNow + milliseconds{ 400 }, notices)).size(),
    0U);
}

TEST(TestServerLoads, ForgetsLoadsThatNoLongerCount)
{
  server_loads loads;
  Merge(loads, Load(3, kNow));
  loads.Prune(kNow + seconds{ 1 });
  EXPECT_EQ(loads.List().size(), 1U);
  loads.Prune(kNow + milliseconds{ 1'001 });
  EXPECT_TRUE(loads.List().empty());
}

TEST(TestServerLoads, NoticesNameEachServerOnceTheNewestFirst)
{
  std::array const observed{ Load(1, kNow - milliseconds{ 90 }, 1),
                             Load(2, kNow - milliseconds{ 50 }, 2),
                             Load(3, kNow - milliseconds{ 10 }, 1),
                             Load(4, kNow - milliseconds{ 70 }, 2) };
  std::vector<load_notice> const notices = MakeLoadNotices(kNow, observed);
  ASSERT_EQ(notices.size(), 2U);
  EXPECT_EQ(notices[0].mRunning, 3U);
  EXPECT_EQ(notices[1].mRunning, 2U);
}

// Guards against telling others of servers that report three figures, and of
// loads that no longer count.
TEST(TestServerLoads, LoadsWithoutASlowdownAndOldOnesAreNotReported)
{
  observed_load plain = Load(1, kNow, 1);
  plain.mLoad.mSlowdown.reset();
  std::array const observed{ plain, Load(2, kNow - milliseconds{ 1'001 }, 2) };
  EXPECT_TRUE(MakeLoadNotices(kNow, observed).empty());
}

// Guards against figures that wrap around in 16 bits.
TEST(TestServerLoads, FiguresBeyondTheNoticeAreClamped)
{
  observed_load load = Load(70'000, kNow);
  load.mLoad.mSlowdown = 1'000;
  load_notice const large = MakeLoadNotices(kNow, { &load, 1 })[0];
  EXPECT_EQ(large.mRunning, 65'535);
  EXPECT_EQ(large.mSlowdownPercent, 65'535);
  load.mLoad.mSlowdown = 0.0001;
  EXPECT_EQ(MakeLoadNotices(kNow, { &load, 1 })[0].mSlowdownPercent, 1);
}

}
}

#include "SimulatedFleet.h"

#include <gtest/gtest.h>

#include <chrono>
#include <set>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kSettled{ 8 };

observed_load
Load(std::uint64_t aServer, instant aAt)
{
  return { .mServer = aServer,
           .mLoad = { .mRunning = 3,
                      .mWaiting = 1,
                      .mSlowdown = 1.4,
                      .mReportedAt = aAt } };
}

class TestLoadReports : public testing::TestWithParam<int>
{
protected:
  using member = simulated_fleet::member;

  TestLoadReports() { mFleet.Run(kSettled); }

  void Observe(member& aObserver, std::vector<observed_load> const& aLoads)
  {
    aObserver.mOwnUpdates.push_back(
      { .mLoads = aObserver.mLoads.Merge(aLoads) });
  }

  // What the members of the observer's domain were told, and those of others.
  std::pair<std::size_t, std::size_t> CountReceivers(member const& aObserver)
  {
    std::size_t inside = 0;
    std::size_t outside = 0;
    for (auto const& [id, known] : mFleet.Members()) {
      bool const isInside =
        known->mHello.mFailureDomain == aObserver.mHello.mFailureDomain;
      if (!known->mReceivedLoads.empty())
        (isInside ? inside : outside) += 1;
    }
    return { inside, outside };
  }

  std::size_t CountDomain(member const& aObserver)
  {
    std::size_t count = 0;
    for (auto const& [id, known] : mFleet.Members())
      count +=
        known->mHello.mFailureDomain == aObserver.mHello.mFailureDomain ? 1 : 0;
    return count;
  }

  simulated_fleet mFleet{ GetParam() };
};

// Guards against all instances of a fleet that choose the same server because
// they know the same loads, and against bytes between domains.
TEST_P(TestLoadReports, LoadsReachTheInstancesOfTheDomainAndNoOthers)
{
  member& observer = mFleet.Member(GetParam() - 1);
  Observe(observer, { Load(7, mFleet.Now()) });
  mFleet.Run(seconds{ 1 });
  auto const [inside, outside] = CountReceivers(observer);
  EXPECT_EQ(inside, CountDomain(observer) - 1);
  EXPECT_EQ(outside, 0U);
}

// Guards against loads that instances keep passing to each other.
TEST_P(TestLoadReports, ALoadReachesAnInstanceOnce)
{
  Observe(mFleet.Member(0), { Load(7, mFleet.Now()) });
  mFleet.Run(seconds{ 3 });
  for (auto const& [id, known] : mFleet.Members())
    EXPECT_LE(known->mReceivedLoads.size(), 1U) << id.Text();
}

// Guards against ages that leave out how long a load waited for a report.
TEST_P(TestLoadReports, AgesIncludeTheTimeOnTheWay)
{
  member& observer = mFleet.Member(0);
  instant const at = mFleet.Now() - milliseconds{ 30 };
  Observe(observer, { Load(7, at) });
  mFleet.Run(seconds{ 1 });
  for (auto const& [id, known] : mFleet.Members()) {
    for (observed_load const& load : known->mLoads.List()) {
      EXPECT_GE(load.mLoad.mReportedAt, at) << id.Text();
      // Ages leave out the links: 50 ms each, and up to three of them from a
      // child of one root to a child of another.
      EXPECT_LE(load.mLoad.mReportedAt, at + milliseconds{ 150 }) << id.Text();
    }
  }
}

// Guards against reports that fill the links of small instances.
TEST_P(TestLoadReports, AReportHasAtMostAHundredLoadsAndTheNewest)
{
  member& observer = mFleet.Member(0);
  std::vector<observed_load> loads;
  constexpr std::uint64_t kServers = 150;
  for (std::uint64_t server = 0; server < kServers; ++server)
    loads.push_back(Load(server, mFleet.Now() - milliseconds{ server }));
  Observe(observer, loads);
  mFleet.Run(milliseconds{ 250 });
  for (auto const& [id, known] : mFleet.Members()) {
    std::set<std::uint64_t> servers;
    for (load_notice const& notice : known->mReceivedLoads)
      servers.insert(notice.mServer);
    if (!servers.empty()) {
      EXPECT_EQ(known->mReceivedLoads.size(), kMaxLoadNotices) << id.Text();
      EXPECT_EQ(*servers.rbegin(), kMaxLoadNotices - 1) << id.Text();
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Sizes, TestLoadReports, testing::Values(2, 8, 40, 82));

}
}

#include "SimulatedFleet.h"

#include <gtest/gtest.h>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kSettled{ 8 };

double
SpentElsewhere(simulated_fleet::member const& aMember)
{
  double sum = 0;
  for (workspace_usage const& spent : aMember.mBook.Spending().Spent())
    sum += spent.mUnits;
  return sum;
}

class TestReportExchange : public testing::TestWithParam<int>
{
protected:
  simulated_fleet mFleet{ GetParam() };
};

TEST_P(TestReportExchange, EveryoneHearsOfEveryone)
{
  mFleet.Run(kSettled);
  std::size_t const others = mFleet.Members().size() - 1;
  for (auto const& [id, member] : mFleet.Members()) {
    EXPECT_EQ(member->mBook.Entries().size(), others) << id.Text();
    EXPECT_EQ(member->mBook.Silent(mFleet.Now()), 0u) << id.Text();
  }
}

TEST_P(TestReportExchange, WhatOneAdmitsIsCountedOnceByAllOthers)
{
  mFleet.Run(kSettled);
  std::map<instance_id, double> before;
  for (auto const& [id, member] : mFleet.Members())
    before[id] = SpentElsewhere(*member);
  double total = 0;
  for (auto const& [id, member] : mFleet.Members())
    total += member->mSpent = 10;
  mFleet.Run(seconds{ 2 });
  for (auto const& [id, member] : mFleet.Members())
    EXPECT_EQ(SpentElsewhere(*member) - before[id], total - 10) << id.Text();
}

TEST_P(TestReportExchange, NewsReachesEveryoneOnce)
{
  mFleet.Run(kSettled);
  for (auto const& [id, member] : mFleet.Members())
    member->mOwnNews.push_back(
      { .mCrashes = { { .mFingerprint = 7, .mCount = 1 } } });
  mFleet.Run(seconds{ 2 });
  for (auto const& [id, member] : mFleet.Members())
    EXPECT_EQ(member->mCrashesHeard.size(), mFleet.Members().size() - 1)
      << id.Text();
}

TEST_P(TestReportExchange, RecordsReachEveryoneOnce)
{
  mFleet.Run(kSettled);
  simulated_fleet::member& reader = mFleet.Member(GetParam() - 1);
  reader.mExchange->Relay(mFleet.Now(), { .mEnd = 3 }, std::nullopt);
  mFleet.Run(seconds{ 1 });
  for (auto const& [id, member] : mFleet.Members())
    EXPECT_EQ(member->mRelays.size(), member.get() == &reader ? 0u : 1u)
      << id.Text();
}

TEST_P(TestReportExchange, TheNewestLeaseIsKnownWithinASecond)
{
  mFleet.Run(kSettled);
  mFleet.Member(GetParam() - 1).mLease = 9;
  mFleet.Run(seconds{ 1 });
  for (auto const& [id, member] : mFleet.Members()) {
    bool const isHolder = member->mLease != 0;
    EXPECT_EQ(member->mBook.NewestLease(mFleet.Now()), isHolder ? 0u : 9u)
      << id.Text();
  }
}

// Killed one after the other, each the one with the most links.
TEST_P(TestReportExchange, LostRootsAreReplaced)
{
  mFleet.Run(kSettled);
  for (int lost = 0; lost < 3 && mFleet.Members().size() > 1; ++lost) {
    instance_id busiest;
    for (auto const& [id, member] : mFleet.Members()) {
      if (busiest.IsEmpty() ||
          mFleet.Peers(id).size() > mFleet.Peers(busiest).size())
        busiest = id;
    }
    mFleet.Kill(busiest);
    mFleet.Run(seconds{ 3 });
    std::size_t const others = mFleet.Members().size() - 1;
    for (auto const& [id, member] : mFleet.Members())
      EXPECT_EQ(member->mBook.Entries().size(), others) << id.Text();
  }
}

TEST_P(TestReportExchange, InstancesThatJoinAreHeardOf)
{
  mFleet.Run(kSettled);
  for (int added = 0; added < 6; ++added)
    mFleet.Join(GetParam() + added);
  mFleet.Run(kSettled);
  std::size_t const others = mFleet.Members().size() - 1;
  for (auto const& [id, member] : mFleet.Members())
    EXPECT_EQ(member->mBook.Entries().size(), others) << id.Text();
}

TEST_P(TestReportExchange, LinksWithoutUseAreClosed)
{
  mFleet.Run(seconds{ 20 });
  std::size_t most = 0;
  for (auto const& [id, member] : mFleet.Members())
    most = std::max(most, mFleet.Peers(id).size());
  std::size_t const count = mFleet.Members().size();
  bool const areAllRoots = count <= report_layout::kMostRootsOnly;
  EXPECT_LE(most * most, areAllRoots ? (count - 1) * (count - 1) : 14 * count);
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         TestReportExchange,
                         testing::Values(2, 8, 13, 40, 90));

}
}

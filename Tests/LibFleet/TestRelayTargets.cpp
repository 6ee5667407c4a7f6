#include "SimulatedFleet.h"
#include <LibFleet/RelayTargets.h>

#include <gtest/gtest.h>

#include <algorithm>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using border = std::pair<failure_domain, failure_domain>;

class TestRelayTargets : public testing::TestWithParam<int>
{
protected:
  void SetUp() override
  {
    mFleet.Run(seconds{ 8 });
    mFleet.Observe([this](peer_hello const& aFrom,
                          peer_hello const& aTo,
                          fleet_message const& aMessage) {
      bool const isRelay = std::holds_alternative<topic_relay>(aMessage);
      if (isRelay && aFrom.mFailureDomain != aTo.mFailureDomain)
        ++mCopies[{ aFrom.mFailureDomain, aTo.mFailureDomain }];
      if (isRelay && aFrom.mFailureDomain != aTo.mFailureDomain)
        mReceiver = aTo.mIdentity.mInstance;
    });
  }

  bool HaveAll(store_position aEnd)
  {
    return std::all_of(
      mFleet.Members().begin(),
      mFleet.Members().end(),
      [&](auto const& aEntry) { return aEntry.second->mEnd == aEnd; });
  }

  simulated_fleet mFleet{ GetParam() };
  std::map<border, int> mCopies;
  instance_id mReceiver;
};

// Guards against paying for each record once for each root of another failure
// domain.
TEST_P(TestRelayTargets, RecordsCrossEachBorderOnce)
{
  store_position const end{ store_era{}, 3 };
  mFleet.Read(mFleet.Member(GetParam() - 1), { .mEnd = end });
  mFleet.Run(seconds{ 1 });
  EXPECT_TRUE(HaveAll(end));
  EXPECT_EQ(mCopies.size(), 2U);
  for (auto const& [crossed, copies] : mCopies)
    EXPECT_EQ(copies, 1) << crossed.first.Text() << " to "
                         << crossed.second.Text();
}

// Guards against a failure domain that gets no records because the root that
// passed them on there is lost.
TEST_P(TestRelayTargets, AnotherRootIsChosenWhenOneIsLost)
{
  simulated_fleet::member& reader = mFleet.Member(GetParam() - 1);
  mFleet.Read(reader, { .mEnd = { store_era{}, 3 } });
  mFleet.Run(seconds{ 1 });
  mFleet.Kill(mReceiver);
  mFleet.Run(seconds{ 3 });
  store_position const end{ store_era{}, 9 };
  mFleet.Read(reader, { .mEnd = end });
  mFleet.Run(seconds{ 1 });
  EXPECT_TRUE(HaveAll(end));
}

INSTANTIATE_TEST_SUITE_P(Sizes, TestRelayTargets, testing::Values(9, 40, 90));

class TestRelayTargetsOfOlderBuilds : public testing::Test
{
protected:
  void SetUp() override
  {
    for (char const* const name : { "a1", "a2", "b0", "b1", "b2" })
      mLinks[instance_id{ name }] = {
        .mHello = { .mIdentity = { .mInstance = instance_id{ name } },
                    .mFailureDomain =
                      failure_domain{ name[0] == 'a' ? "a" : "b" } },
        .mReportedAt = mNow,
        .mReport = { .mSpreadsRelays = true }
      };
    for (auto const& [id, link] : mLinks)
      mRoots.push_back(id);
  }

  peer_hello const mSelf{ .mIdentity = { .mInstance = instance_id{ "a0" } },
                          .mFailureDomain = failure_domain{ "a" } };
  instant mNow{ seconds{ 100 } };
  relay_targets::links mLinks;
  std::vector<instance_id> mRoots;
  relay_targets const mTargets{ mSelf, mLinks };
};

// Guards against older roots that get no records, as nobody passes them on.
TEST_F(TestRelayTargetsOfOlderBuilds, TheyGetTheirOwnCopies)
{
  mLinks.at(instance_id{ "b1" }).mReport.mSpreadsRelays = false;
  std::vector<instance_id> const chosen = mTargets.OfBranch(mNow, mRoots);
  EXPECT_EQ(chosen.size(), 4U);
  EXPECT_TRUE(std::count(chosen.begin(), chosen.end(), instance_id{ "b1" }));
}

// Guards against copies for roots that the older one has sent them to already.
TEST_F(TestRelayTargetsOfOlderBuilds, TheirRecordsAreNotPassedOnToRoots)
{
  EXPECT_EQ(mTargets.OfRoot(instance_id{ "b1" }, mRoots).size(), 2U);
  mLinks.at(instance_id{ "b1" }).mReport.mSpreadsRelays = false;
  EXPECT_TRUE(mTargets.OfRoot(instance_id{ "b1" }, mRoots).empty());
}

// Guards against a domain that gets no records because the chosen root hangs.
TEST_F(TestRelayTargetsOfOlderBuilds, SilentRootIsNotChosen)
{
  mLinks.at(instance_id{ "b0" }).mReportedAt.reset();
  mLinks.at(instance_id{ "b2" }).mReportedAt.reset();
  std::vector<instance_id> const chosen = mTargets.OfBranch(mNow, mRoots);
  EXPECT_TRUE(std::count(chosen.begin(), chosen.end(), instance_id{ "b1" }));
  EXPECT_EQ(chosen.size(), 3U);
}

}
}

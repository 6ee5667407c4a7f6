#include "SimulatedFleet.h"

#include <gtest/gtest.h>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kSettled{ 8 };

double
UsageOfOthers(simulated_fleet::member const& aMember)
{
  double sum = 0;
  for (workspace_usage const& usage : aMember.mRegistry.Usage().Total())
    sum += usage.mUnits;
  return sum;
}

class TestReportExchange : public testing::TestWithParam<int>
{
protected:
  simulated_fleet mFleet{ GetParam() };
};

TEST_P(TestReportExchange, EveryInstanceKnowsAllOthers)
{
  mFleet.Run(kSettled);
  std::size_t const others = mFleet.Members().size() - 1;
  for (auto const& [id, member] : mFleet.Members()) {
    EXPECT_EQ(member->mRegistry.Entries().size(), others) << id.Text();
    EXPECT_EQ(member->mRegistry.Unresponsive(mFleet.Now()), 0u) << id.Text();
  }
}

TEST_P(TestReportExchange, UsageIsCountedOnceByEachOtherInstance)
{
  mFleet.Run(kSettled);
  std::map<instance_id, double> before;
  for (auto const& [id, member] : mFleet.Members())
    before[id] = UsageOfOthers(*member);
  double total = 0;
  for (auto const& [id, member] : mFleet.Members())
    total += member->mUsage = 10;
  mFleet.Run(seconds{ 2 });
  for (auto const& [id, member] : mFleet.Members())
    EXPECT_EQ(UsageOfOthers(*member) - before[id], total - 10) << id.Text();
}

TEST_P(TestReportExchange, UpdatesReachEachInstanceOnce)
{
  mFleet.Run(kSettled);
  for (auto const& [id, member] : mFleet.Members())
    member->mOwnUpdates.push_back(
      { .mCrashes = { { .mFingerprint = 7, .mCount = 1 } } });
  mFleet.Run(seconds{ 2 });
  for (auto const& [id, member] : mFleet.Members())
    EXPECT_EQ(member->mReceivedCrashes.size(), mFleet.Members().size() - 1)
      << id.Text();
}

TEST_P(TestReportExchange, EvidenceOnPartsReachesEachInstance)
{
  mFleet.Run(kSettled);
  simulated_fleet::member& observer = mFleet.Member(GetParam() - 1);
  observer.mOwnUpdates.push_back(
    { .mPartCrashes = { { .mPart = 7, .mCrashes = 1 } } });
  mFleet.Run(seconds{ 2 });
  for (auto const& [id, member] : mFleet.Members())
    EXPECT_EQ(member->mReceivedEvidence.size(),
              member.get() == &observer ? 0U : 1U)
      << id.Text();
}

// Guards against an instance that starts and sends servers a part of prompts
// that the others have in quarantine.
TEST_P(TestReportExchange, JoiningInstanceLearnsWhatIsInQuarantine)
{
  mFleet.Run(kSettled);
  for (auto const& [id, member] : mFleet.Members())
    member->mQuarantined = { { .mPart = 7, .mCrashes = 3 } };
  mFleet.Join(GetParam());
  mFleet.Run(seconds{ 2 });
  EXPECT_FALSE(mFleet.Member(GetParam()).mReceivedEvidence.empty());
}

// Guards against an instance that sends a server more than its share of a rate
// limit because it has got no answer of that server.
TEST_P(TestReportExchange, RateLimitsReachEachInstance)
{
  mFleet.Run(kSettled);
  simulated_fleet::member& observer = mFleet.Member(GetParam() - 1);
  observed_limit const limit{ .mServer = { backend_server_id{ "engine" },
                                           incarnation{ 1 } },
                              .mRequestsPerSecond = 2.5,
                              .mObservedAt = mFleet.Now() };
  observer.mLimits.Merge({ &limit, 1 });
  observer.mOwnUpdates.push_back({ .mLimits = { limit } });
  mFleet.Run(seconds{ 2 });
  mFleet.Join(GetParam());
  mFleet.Run(seconds{ 2 });
  for (auto const& [id, member] : mFleet.Members()) {
    std::vector<observed_limit> const known = member->mLimits.List();
    ASSERT_EQ(known.size(), 1U) << id.Text();
    EXPECT_EQ(known[0].mRequestsPerSecond, 2.5) << id.Text();
    EXPECT_LE(known[0].mObservedAt - limit.mObservedAt, seconds{ 1 })
      << id.Text();
  }
}

// Guards against an instance that lets other software continue a stream because
// it doesn't know who began it.
TEST_P(TestReportExchange, OriginsOfStreamsReachEachInstance)
{
  mFleet.Run(kSettled);
  simulated_fleet::member& first = mFleet.Member(GetParam() - 1);
  std::vector<stream_origin> const origins{ { 7, software_version{ "v1" } } };
  first.mOrigins.Merge(mFleet.Now(), origins);
  first.mOwnUpdates.push_back({ .mOrigins = origins });
  mFleet.Run(seconds{ 1 });
  mFleet.Join(GetParam());
  mFleet.Run(seconds{ 2 });
  for (auto const& [id, member] : mFleet.Members())
    EXPECT_EQ(member->mOrigins.List(mFleet.Now()), origins) << id.Text();
}

TEST_P(TestReportExchange, RelayedRecordsReachEachInstanceOnce)
{
  mFleet.Run(kSettled);
  simulated_fleet::member& reader = mFleet.Member(GetParam() - 1);
  mFleet.Read(reader, { .mEnd = { store_era{}, 3 } });
  mFleet.Run(seconds{ 1 });
  for (auto const& [id, member] : mFleet.Members())
    EXPECT_EQ(member->mRelays.size(), member.get() == &reader ? 0u : 1u)
      << id.Text();
}

// Guards against roots that are busy with records that everyone has read, after
// an outage of the store, and are taken for lost.
TEST_P(TestReportExchange, RecordsThatAllInstancesReadArePassedOnOnceALink)
{
  mFleet.Run(kSettled);
  topic_relay const read{ .mIsSnapshot = true, .mEnd = { store_era{ 2 }, 3 } };
  for (auto const& [id, member] : mFleet.Members())
    mFleet.Read(*member, read);
  mFleet.Run(seconds{ 1 });
  for (auto const& [id, member] : mFleet.Members())
    EXPECT_LE(member->mRelays.size(), mFleet.Peers(id).size()) << id.Text();
}

// Guards against an instance that missed a record for good because those that
// could pass it on know it already.
TEST_P(TestReportExchange, LaterSnapshotsReachInstancesThatMissedARecord)
{
  mFleet.Run(kSettled);
  simulated_fleet::member& reader = mFleet.Member(GetParam() - 1);
  topic_relay const read{ .mIsSnapshot = true, .mEnd = { store_era{}, 3 } };
  mFleet.Read(reader, read);
  mFleet.Run(seconds{ 3 });
  for (auto const& [id, depth] : mFleet.Depths()) {
    if (depth > 0)
      mFleet.Members().at(id)->mEnd = {};
  }
  mFleet.Read(reader, read);
  mFleet.Run(seconds{ 1 });
  for (auto const& [id, member] : mFleet.Members())
    EXPECT_EQ(member->mEnd, read.mEnd) << id.Text();
}

// Guards against reports and records that are late because they pass through an
// instance that was a root for a moment only.
TEST_P(TestReportExchange, ChildrenLeaveAParentThatHasAParent)
{
  mFleet.Run(kSettled);
  std::map<instance_id, std::size_t> const depths = mFleet.Depths();
  // Each root's links break for long enough that its children choose others.
  std::vector<instance_id> roots;
  for (auto const& [id, depth] : depths) {
    if (depth == 0)
      roots.push_back(id);
  }
  for (instance_id const& root : roots) {
    for (auto const& [id, member] : mFleet.Members()) {
      if (id != root)
        mFleet.Disconnect(root, id);
    }
  }
  mFleet.Run(seconds{ 4 });
  mFleet.Reconnect();
  mFleet.Run(seconds{ 8 });
  for (auto const& [id, depth] : mFleet.Depths())
    EXPECT_LE(depth, 1U) << id.Text();
}

// Guards against an instance that fills its network link with state for all
// others, and can't reach the store for seconds, because roots have lost each
// other for a moment.
TEST_P(TestReportExchange, LinksThatFailTogetherAreReplacedByAsFew)
{
  mFleet.Run(kSettled);
  std::size_t const count = mFleet.Members().size();
  std::map<instance_id, std::size_t> const depths = mFleet.Depths();
  int links = 0;
  for (auto const& [id, depth] : depths) {
    for (instance_id const& peer : mFleet.Peers(id)) {
      bool const areRoots = depth == 0 && depths.at(peer) == 0;
      if (id < peer && (areRoots || ++links % 2 == 0))
        mFleet.Disconnect(id, peer);
    }
  }
  std::size_t most = 0;
  for (milliseconds elapsed{}; elapsed < seconds{ 5 };
       elapsed += simulated_fleet::kStep) {
    if (elapsed == seconds{ 1 })
      mFleet.Reconnect();
    mFleet.Run(simulated_fleet::kStep);
    for (auto const& [id, depth] : depths)
      most = std::max(most, mFleet.Peers(id).size());
  }
  bool const areAllRoots = count <= report_topology::kMaxInstancesAllRoots;
  EXPECT_LE(most * most, areAllRoots ? (count - 1) * (count - 1) : 14 * count);
}

TEST_P(TestReportExchange, TheNewestLeaseIsKnownWithinASecond)
{
  mFleet.Run(kSettled);
  mFleet.Member(GetParam() - 1).mLease = 9;
  mFleet.Run(seconds{ 1 });
  for (auto const& [id, member] : mFleet.Members()) {
    bool const isHolder = member->mLease != 0;
    EXPECT_EQ(member->mRegistry.NewestLease(mFleet.Now()), isHolder ? 0u : 9u)
      << id.Text();
  }
}

// Kills the instance with the most links, up to three times.
TEST_P(TestReportExchange, FailedRootsAreReplaced)
{
  mFleet.Run(kSettled);
  for (int killed = 0; killed < 3 && mFleet.Members().size() > 1; ++killed) {
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
      EXPECT_EQ(member->mRegistry.Entries().size(), others) << id.Text();
  }
}

TEST_P(TestReportExchange, JoiningInstancesBecomeKnownToAll)
{
  mFleet.Run(kSettled);
  for (int added = 0; added < 6; ++added)
    mFleet.Join(GetParam() + added);
  mFleet.Run(kSettled);
  std::size_t const others = mFleet.Members().size() - 1;
  for (auto const& [id, member] : mFleet.Members())
    EXPECT_EQ(member->mRegistry.Entries().size(), others) << id.Text();
}

TEST_P(TestReportExchange, UnusedLinksAreClosed)
{
  mFleet.Run(seconds{ 20 });
  std::size_t most = 0;
  for (auto const& [id, member] : mFleet.Members())
    most = std::max(most, mFleet.Peers(id).size());
  std::size_t const count = mFleet.Members().size();
  bool const areAllRoots = count <= report_topology::kMaxInstancesAllRoots;
  EXPECT_LE(most * most, areAllRoots ? (count - 1) * (count - 1) : 14 * count);
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         TestReportExchange,
                         testing::Values(2, 8, 13, 40, 90));

}
}

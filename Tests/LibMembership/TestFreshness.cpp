#include <Tests/LibMembership/VirtualFleet.h>
#include <gtest/gtest.h>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kBound = virtual_fleet::kBound;

struct fleet_size
{
  std::size_t mInstances = 0;
  std::size_t mDomains = 0;
  std::uint32_t mSeeds = 0;
};

// The sizes of the sites Riga and Chao Phraya, and a fleet in which not all
// instances are linked to each other.
constexpr fleet_size kSizes[] = { { 7, 3, 150 },
                                  { 8, 4, 150 },
                                  { 48, 12, 40 } };

void
RunFor(virtual_fleet& aFleet, milliseconds aSpan)
{
  for (milliseconds done{ 0 }; done < aSpan; done += virtual_fleet::kStep)
    aFleet.Step();
}

std::size_t
Count(virtual_fleet const& aFleet, freshness_verdict aVerdict)
{
  std::size_t count = 0;
  for (std::size_t i = 0; i < aFleet.Size(); ++i)
    count += aFleet.Assess(i) == aVerdict;
  return count;
}

// Begins and ends log outages, and pauses instances, at random.
void
InjectFaults(virtual_fleet& aFleet)
{
  std::uniform_int_distribution<int> percent{ 0, 99 };
  if (percent(aFleet.mRandom) < 2)
    aFleet.mIsLogUnreachable = !aFleet.mIsLogUnreachable;
  std::uniform_int_distribution<std::size_t> any{ 0, aFleet.Size() - 1 };
  if (percent(aFleet.mRandom) < 5) {
    std::uniform_int_distribution<int> span{ 100, 9000 };
    aFleet.mNodes[any(aFleet.mRandom)].mPausedUntil =
      aFleet.mNow + milliseconds{ span(aFleet.mRandom) };
  }
}

// A network partition that begins and ends at random; the separated failure
// domains are less than half of all.
class random_partition
{
public:
  void Change(virtual_fleet& aFleet)
  {
    std::uniform_int_distribution<int> percent{ 0, 99 };
    if (percent(aFleet.mRandom) >= 2)
      return;
    bool const isPartitioned = !aFleet.mPartitionedDomains.empty();
    aFleet.mPartitionedDomains.clear();
    if (isPartitioned)
      return;
    std::size_t const most = (aFleet.mDomains - 1) / 2;
    std::uniform_int_distribution<std::size_t> count{ 1, most };
    std::size_t const domains = count(aFleet.mRandom);
    for (std::size_t i = 0; i < domains; ++i)
      aFleet.mPartitionedDomains.insert(i);
    mBegan = aFleet.mNow;
  }

  [[nodiscard]] bool LastsLongerThan(virtual_fleet const& aFleet,
                                     milliseconds aSpan) const
  {
    return !aFleet.mPartitionedDomains.empty() && aFleet.mNow - mBegan > aSpan;
  }

private:
  instant mBegan{};
};

// The number of verdicts that confirm stale knowledge, or that let an instance
// decide although it has been partitioned for longer than the bound.
std::size_t
CountWrongVerdicts(virtual_fleet const& aFleet,
                   random_partition const& aPartition)
{
  std::size_t wrong = 0;
  for (std::size_t i = 0; i < aFleet.Size(); ++i) {
    if (aFleet.IsPaused(i))
      continue;
    freshness_verdict const verdict = aFleet.Assess(i);
    bool const isStale = aFleet.mNodes[i].mApplied < aFleet.TailBefore(kBound);
    if (verdict == freshness_verdict::Confirmed && isStale)
      ++wrong;
    bool const isPartitionedTooLong =
      aFleet.IsPartitioned(i) && aPartition.LastsLongerThan(aFleet, kBound);
    if (verdict != freshness_verdict::Partitioned && isPartitionedTooLong)
      ++wrong;
  }
  return wrong;
}

std::size_t
RunSchedule(virtual_fleet& aFleet)
{
  random_partition partition;
  std::size_t wrong = 0;
  RunFor(aFleet, seconds{ 2 });
  for (milliseconds done{ 0 }; done < seconds{ 40 };
       done += virtual_fleet::kStep) {
    InjectFaults(aFleet);
    partition.Change(aFleet);
    aFleet.Step();
    wrong += CountWrongVerdicts(aFleet, partition);
  }
  return wrong;
}

TEST(TestFreshness, NoVerdictIsWrongUnderRandomFaults)
{
  for (fleet_size const& size : kSizes) {
    for (std::uint32_t seed = 0; seed < size.mSeeds; ++seed) {
      virtual_fleet fleet{ size.mInstances, size.mDomains, seed };
      EXPECT_EQ(RunSchedule(fleet), 0u)
        << size.mInstances << " instances, seed " << seed;
    }
  }
}

// The same count must detect a wrong rule: dating a peer's report by its
// arrival instead of by the sending of the echoed message.
TEST(TestFreshness, DatingReportsByArrivalGivesWrongVerdicts)
{
  std::size_t wrong = 0;
  for (std::uint32_t seed = 0; seed < 20; ++seed) {
    virtual_fleet fleet{ 8, 4, seed, observation_time::Arrival };
    wrong += RunSchedule(fleet);
  }
  EXPECT_GT(wrong, 0u);
}

TEST(TestFreshness, AllAreConfirmedOnceFaultsEnd)
{
  for (fleet_size const& size : kSizes) {
    for (std::uint32_t seed = 0; seed < size.mSeeds / 4; ++seed) {
      virtual_fleet fleet{ size.mInstances, size.mDomains, seed };
      RunSchedule(fleet);
      fleet.mPartitionedDomains.clear();
      fleet.mIsLogUnreachable = false;
      RunFor(fleet, seconds{ 14 });
      EXPECT_EQ(Count(fleet, freshness_verdict::Confirmed), fleet.Size())
        << size.mInstances << " instances, seed " << seed;
    }
  }
}

TEST(TestFreshness, ALogOutageForAllPartitionsNoInstance)
{
  for (fleet_size const& size : kSizes) {
    virtual_fleet fleet{ size.mInstances, size.mDomains, 1 };
    RunFor(fleet, seconds{ 5 });
    fleet.mIsLogUnreachable = true;
    for (int i = 0; i < 400; ++i) {
      fleet.Step();
      EXPECT_EQ(Count(fleet, freshness_verdict::Partitioned), 0u);
    }
    EXPECT_EQ(Count(fleet, freshness_verdict::LogUnreachable), fleet.Size());
  }
}

TEST(TestFreshness, InALogOutageAPartitionedDomainStopsOnlyItself)
{
  virtual_fleet fleet{ 48, 12, 1 };
  RunFor(fleet, seconds{ 5 });
  fleet.mIsLogUnreachable = true;
  fleet.mPartitionedDomains = { 0 };
  RunFor(fleet, seconds{ 10 });
  EXPECT_EQ(Count(fleet, freshness_verdict::Partitioned), 4u);
  EXPECT_EQ(Count(fleet, freshness_verdict::LogUnreachable), 44u);
}

// 12 of 330 instances read the log; the tail reaches the others over a few
// links, each of which adds up to one heartbeat interval. So a fleet of this
// size needs a larger bound than the default.
TEST(TestFreshness, ALargeFleetStaysConfirmed)
{
  virtual_fleet fleet{ 330, 12, 1, observation_time::Echo, seconds{ 5 } };
  RunFor(fleet, seconds{ 12 });
  for (int i = 0; i < 60; ++i) {
    fleet.Step();
    EXPECT_EQ(Count(fleet, freshness_verdict::Confirmed), fleet.Size());
  }
}

TEST(TestFreshness, AfterAPauseANewReadingIsNeededToConfirm)
{
  instant now = instant{} + seconds{ 100 };
  freshness own{ instance_id{ "i0" }, {}, now };
  std::vector<member> const members = MakeMembers(1, 1);
  own.OnApplied(log_offset{ 1 });
  own.OnTailRead(log_offset{ 1 }, now);
  EXPECT_EQ(own.Assess(now, members, {}), freshness_verdict::Confirmed);
  now += milliseconds{ 2000 };
  EXPECT_EQ(own.Assess(now, members, {}), freshness_verdict::Partitioned);
  own.OnTick(now);
  EXPECT_NE(own.Assess(now, members, {}), freshness_verdict::Confirmed);
  EXPECT_FALSE(own.Tail(now).has_value());
  own.OnTailRead(log_offset{ 1 }, now);
  EXPECT_EQ(own.Assess(now, members, {}), freshness_verdict::Confirmed);
}

// Guards against a single instance that serves a withdrawn key right after a
// pause, because it is a majority of its fleet by itself.
TEST(TestFreshness, ASingleInstanceWaitsForTheLogAfterAPause)
{
  instance_id const self{ "a" };
  member const only{ .mIdentity = { self, incarnation{ 1 } } };
  std::vector<member> const members{ only };
  freshness_options const options;
  instant now{};
  freshness lone{ self, options, now };
  lone.OnTailRead(log_offset{}, now);
  now += 2 * options.mPauseLimit;
  lone.OnTick(now);
  EXPECT_EQ(lone.Assess(now, members, {}), freshness_verdict::Partitioned);
  lone.OnTailRead(log_offset{}, now);
  EXPECT_EQ(lone.Assess(now, members, {}), freshness_verdict::Confirmed);
}

TEST(TestFreshness, AReadingConfirmsOnceItsTailIsApplied)
{
  instant const now = instant{} + seconds{ 100 };
  freshness own{ instance_id{ "i0" }, {}, now };
  std::vector<member> const members = MakeMembers(3, 1);
  own.OnTailRead(log_offset{ 7 }, now);
  EXPECT_EQ(own.Assess(now, members, {}), freshness_verdict::Partitioned);
  own.OnApplied(log_offset{ 6 });
  EXPECT_EQ(own.Assess(now, members, {}), freshness_verdict::Partitioned);
  own.OnApplied(log_offset{ 7 });
  EXPECT_EQ(own.Assess(now, members, {}), freshness_verdict::Confirmed);
}

TEST(TestFreshness, IgnoresAnEchoFromTheFuture)
{
  instant const now = instant{} + seconds{ 100 };
  freshness own{ instance_id{ "i0" }, {}, now };
  own.OnPeerObservation({ .mPeer = instance_id{ "i1" },
                          .mEchoedSentAt = now + seconds{ 1 },
                          .mTail = tail_observation{} },
                        now);
  EXPECT_FALSE(own.Tail(now).has_value());
}

}
}

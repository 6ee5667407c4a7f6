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

// Riga's, Chao Phraya's, and one whose instances aren't all linked.
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

// Cuts, outages and pauses begin and end at random.
void
Disturb(virtual_fleet& aFleet)
{
  std::uniform_int_distribution<int> chance{ 0, 99 };
  if (chance(aFleet.mRandom) < 2)
    aFleet.mIsLogOut = !aFleet.mIsLogOut;
  std::uniform_int_distribution<std::size_t> any{ 0, aFleet.Size() - 1 };
  if (chance(aFleet.mRandom) < 5) {
    std::uniform_int_distribution<int> span{ 100, 9000 };
    aFleet.mNodes[any(aFleet.mRandom)].mPausedUntil =
      aFleet.mNow + milliseconds{ span(aFleet.mRandom) };
  }
}

// The cut's members and when it began; the cut part is less than half.
class random_cut
{
public:
  void Change(virtual_fleet& aFleet)
  {
    std::uniform_int_distribution<int> chance{ 0, 99 };
    if (chance(aFleet.mRandom) >= 2)
      return;
    bool const isCut = !aFleet.mCutDomains.empty();
    aFleet.mCutDomains.clear();
    if (isCut)
      return;
    std::size_t const most = (aFleet.mDomains - 1) / 2;
    std::uniform_int_distribution<std::size_t> count{ 1, most };
    std::size_t const domains = count(aFleet.mRandom);
    for (std::size_t i = 0; i < domains; ++i)
      aFleet.mCutDomains.insert(i);
    mBegan = aFleet.mNow;
  }

  [[nodiscard]] bool HoldsFor(virtual_fleet const& aFleet,
                              milliseconds aSpan) const
  {
    return !aFleet.mCutDomains.empty() && aFleet.mNow - mBegan > aSpan;
  }

private:
  instant mBegan{};
};

// How often an instance decided on more than it may know.
std::size_t
CountWrongVerdicts(virtual_fleet const& aFleet, random_cut const& aCut)
{
  std::size_t wrong = 0;
  for (std::size_t i = 0; i < aFleet.Size(); ++i) {
    if (aFleet.IsPaused(i))
      continue;
    freshness_verdict const verdict = aFleet.Assess(i);
    bool const isStale = aFleet.mNodes[i].mApplied < aFleet.TailBefore(kBound);
    if (verdict == freshness_verdict::Confirmed && isStale)
      ++wrong;
    bool const isApart = aFleet.IsCut(i) && aCut.HoldsFor(aFleet, kBound);
    if (verdict != freshness_verdict::CutOff && isApart)
      ++wrong;
  }
  return wrong;
}

std::size_t
RunSchedule(virtual_fleet& aFleet)
{
  random_cut cut;
  std::size_t wrong = 0;
  RunFor(aFleet, seconds{ 2 });
  for (milliseconds done{ 0 }; done < seconds{ 40 };
       done += virtual_fleet::kStep) {
    Disturb(aFleet);
    cut.Change(aFleet);
    aFleet.Step();
    wrong += CountWrongVerdicts(aFleet, cut);
  }
  return wrong;
}

TEST(TestFreshness, NeverDecidesOnStaleKnowledge)
{
  for (fleet_size const& size : kSizes) {
    for (std::uint32_t seed = 0; seed < size.mSeeds; ++seed) {
      virtual_fleet fleet{ size.mInstances, size.mDomains, seed };
      EXPECT_EQ(RunSchedule(fleet), 0u)
        << size.mInstances << " instances, seed " << seed;
    }
  }
}

// The same check must find the fault of trusting a message's arrival.
TEST(TestFreshness, TheCheckSeesTrustInArrival)
{
  std::size_t wrong = 0;
  for (std::uint32_t seed = 0; seed < 20; ++seed) {
    virtual_fleet fleet{ 8, 4, seed, sign_time::Arrival };
    wrong += RunSchedule(fleet);
  }
  EXPECT_GT(wrong, 0u);
}

TEST(TestFreshness, AllAreConfirmedAgainAfterTrouble)
{
  for (fleet_size const& size : kSizes) {
    for (std::uint32_t seed = 0; seed < size.mSeeds / 4; ++seed) {
      virtual_fleet fleet{ size.mInstances, size.mDomains, seed };
      RunSchedule(fleet);
      fleet.mCutDomains.clear();
      fleet.mIsLogOut = false;
      RunFor(fleet, seconds{ 14 });
      EXPECT_EQ(Count(fleet, freshness_verdict::Confirmed), fleet.Size())
        << size.mInstances << " instances, seed " << seed;
    }
  }
}

TEST(TestFreshness, ALogOutForAllStopsNobody)
{
  for (fleet_size const& size : kSizes) {
    virtual_fleet fleet{ size.mInstances, size.mDomains, 1 };
    RunFor(fleet, seconds{ 5 });
    fleet.mIsLogOut = true;
    for (int i = 0; i < 400; ++i) {
      fleet.Step();
      EXPECT_EQ(Count(fleet, freshness_verdict::CutOff), 0u);
    }
    EXPECT_EQ(Count(fleet, freshness_verdict::LogOut), fleet.Size());
  }
}

TEST(TestFreshness, AnOutageOfOneDomainStopsNoOtherInALogOutage)
{
  virtual_fleet fleet{ 48, 12, 1 };
  RunFor(fleet, seconds{ 5 });
  fleet.mIsLogOut = true;
  fleet.mCutDomains = { 0 };
  RunFor(fleet, seconds{ 10 });
  EXPECT_EQ(Count(fleet, freshness_verdict::CutOff), 4u);
  EXPECT_EQ(Count(fleet, freshness_verdict::LogOut), 44u);
}

// Twelve of 330 instances read the log; the others hear of its tail over a
// few links, each of which adds up to a heartbeat's interval. So a fleet of
// this size needs a larger bound than today's.
TEST(TestFreshness, ALargeFleetStaysConfirmed)
{
  virtual_fleet fleet{ 330, 12, 1, sign_time::Echo, seconds{ 5 } };
  RunFor(fleet, seconds{ 12 });
  for (int i = 0; i < 60; ++i) {
    fleet.Step();
    EXPECT_EQ(Count(fleet, freshness_verdict::Confirmed), fleet.Size());
  }
}

TEST(TestFreshness, APausedProcessConfirmsFirst)
{
  instant now = instant{} + seconds{ 100 };
  freshness own{ instance_id{ "i0" }, {}, now };
  std::vector<member> const members = MakeMembers(1, 1);
  own.OnApplied(log_offset{ 1 });
  own.OnTailRead(log_offset{ 1 }, now);
  EXPECT_EQ(own.Assess(now, members, {}), freshness_verdict::Confirmed);
  now += milliseconds{ 2000 };
  EXPECT_EQ(own.Assess(now, members, {}), freshness_verdict::CutOff);
  own.OnTick(now);
  EXPECT_NE(own.Assess(now, members, {}), freshness_verdict::Confirmed);
  EXPECT_FALSE(own.Tail(now).has_value());
  own.OnTailRead(log_offset{ 1 }, now);
  EXPECT_EQ(own.Assess(now, members, {}), freshness_verdict::Confirmed);
}

// Served a withdrawn key right after a pause: alone, it was most of its fleet.
TEST(TestFreshness, ALoneInstanceWaitsForTheLogAfterAPause)
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
  EXPECT_EQ(lone.Assess(now, members, {}), freshness_verdict::CutOff);
  lone.OnTailRead(log_offset{}, now);
  EXPECT_EQ(lone.Assess(now, members, {}), freshness_verdict::Confirmed);
}

TEST(TestFreshness, ATailCountsOnceItIsApplied)
{
  instant const now = instant{} + seconds{ 100 };
  freshness own{ instance_id{ "i0" }, {}, now };
  std::vector<member> const members = MakeMembers(3, 1);
  own.OnTailRead(log_offset{ 7 }, now);
  EXPECT_EQ(own.Assess(now, members, {}), freshness_verdict::CutOff);
  own.OnApplied(log_offset{ 6 });
  EXPECT_EQ(own.Assess(now, members, {}), freshness_verdict::CutOff);
  own.OnApplied(log_offset{ 7 });
  EXPECT_EQ(own.Assess(now, members, {}), freshness_verdict::Confirmed);
}

TEST(TestFreshness, DropsEchoesOfTheFuture)
{
  instant const now = instant{} + seconds{ 100 };
  freshness own{ instance_id{ "i0" }, {}, now };
  own.OnPeerSign({ .mPeer = instance_id{ "i1" },
                   .mEchoedSentAt = now + seconds{ 1 },
                   .mTail = tail_observation{} },
                 now);
  EXPECT_FALSE(own.Tail(now).has_value());
}

}
}

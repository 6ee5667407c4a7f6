#include <LibDispatch/DomainOverflow.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <vector>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

failure_domain const kHome{ "a" };
constexpr milliseconds kTick{ 50 };

/// Three domains of equal capacity. Each has a demand, sends a share of it to
/// the others as its overflow decides, and sees loads that are 0.3 s old.
/// Requests run for 0.5 s, so that the use follows the traffic with this lag.
class three_domains
{
public:
  static constexpr double kCapacity = 720;

  explicit three_domains(std::vector<double> aDemand)
    : mDemand(std::move(aDemand))
  {
    for (char const name : { 'a', 'b', 'c' })
      mLoads.push_back({ .mDomain = failure_domain{ std::string(1, name) },
                         .mCapacity = kCapacity });
  }

  void SetDemand(std::vector<double> aDemand) { mDemand = std::move(aDemand); }

  /// Lets aSpan pass, and returns the home domain's share at each tick.
  std::vector<double> Run(milliseconds aSpan)
  {
    std::vector<double> shares;
    for (milliseconds past{ 0 }; past < aSpan; past += kTick) {
      Tick();
      shares.push_back(mOverflows[0].Share());
    }
    return shares;
  }

  [[nodiscard]] double Use(std::size_t aDomain) const
  {
    return mLoads[aDomain].mUsed / mLoads[aDomain].mCapacity;
  }
  [[nodiscard]] domain_overflow const& Home() const { return mOverflows[0]; }

private:
  void Tick()
  {
    constexpr std::size_t kReportTicks = 6;
    constexpr double kHold = 0.5;
    mNow += kTick;
    mSeen.push_back(mLoads);
    if (mSeen.size() > kReportTicks)
      mSeen.pop_front();
    std::vector<double> traffic(mLoads.size());
    for (std::size_t from = 0; from < mLoads.size(); ++from) {
      mOverflows[from].Update(mNow, mLoads[from].mDomain, mSeen.front());
      Spread(from, traffic);
    }
    double const step = std::chrono::duration<double>{ kTick }.count() / kHold;
    for (std::size_t index = 0; index < mLoads.size(); ++index)
      mLoads[index].mUsed += step * (traffic[index] - mLoads[index].mUsed);
  }

  // Adds a domain's demand to the domains that get it.
  void Spread(std::size_t aFrom, std::vector<double>& aTraffic) const
  {
    double const demand = mDemand[aFrom] * kCapacity;
    double const share = mOverflows[aFrom].Share();
    double free = 0;
    for (std::size_t to = 0; to < mLoads.size(); ++to)
      free += to == aFrom ? 0 : FreeIn(to);
    aTraffic[aFrom] += free > 0 ? (1 - share) * demand : demand;
    for (std::size_t to = 0; to < mLoads.size() && free > 0; ++to)
      aTraffic[to] += to == aFrom ? 0 : share * demand * FreeIn(to) / free;
  }

  [[nodiscard]] double FreeIn(std::size_t aDomain) const
  {
    domain_load const& load = mSeen.front()[aDomain];
    return std::max(0.0, load.mCapacity - load.mUsed);
  }

  std::vector<double> mDemand;
  std::vector<domain_load> mLoads;
  std::deque<std::vector<domain_load>> mSeen;
  std::vector<domain_overflow> mOverflows{ 3 };
  instant mNow{ seconds{ 100 } };
};

// Changes of direction by more than a hundredth.
int
Turns(std::vector<double> const& aShares)
{
  int turns = 0;
  int direction = 0;
  double extreme = aShares.front();
  for (double const share : aShares) {
    bool const isRising = share > extreme;
    if (std::abs(share - extreme) < 0.01) {
      if ((direction > 0 && isRising) || (direction < 0 && !isRising))
        extreme = share;
      continue;
    }
    int const next = isRising ? 1 : -1;
    turns += direction != 0 && next != direction ? 1 : 0;
    direction = next;
    extreme = share;
  }
  return turns;
}

TEST(TestDomainOverflow, NothingLeavesBelowEightTenths)
{
  three_domains domains{ { 0.78, 0.2, 0.2 } };
  for (double const share : domains.Run(seconds{ 10 }))
    EXPECT_EQ(share, 0);
}

// Guards against a share that swings: at a step of the load to 0.9 of home's
// capacity, all instances of a domain act on reports that are 0.3 s old.
TEST(TestDomainOverflow, ShareSettlesAfterAStepOfTheLoad)
{
  three_domains domains{ { 0.9, 0.3, 0.3 } };
  std::vector<double> const shares = domains.Run(seconds{ 10 });
  EXPECT_LE(Turns(shares), 1);
  EXPECT_GT(shares.back(), 0.02);
  EXPECT_LT(domains.Use(0), 0.88);
  EXPECT_NEAR(shares.back(), shares[shares.size() - 20], 0.01);
}

TEST(TestDomainOverflow, ShareSettlesAtTwiceTheCapacity)
{
  three_domains domains{ { 2, 0.1, 0.1 } };
  std::vector<double> const shares = domains.Run(seconds{ 10 });
  EXPECT_LE(Turns(shares), 1);
  EXPECT_LT(domains.Use(0), 1.1);
}

// Guards against traffic that stays away after a recovery: bytes between
// domains are priced.
TEST(TestDomainOverflow, TrafficIsBackWithinTwoSecondsOfTheRecovery)
{
  three_domains domains{ { 1.2, 0.2, 0.2 } };
  domains.Run(seconds{ 10 });
  EXPECT_GT(domains.Home().Share(), 0.1);
  domains.SetDemand({ 0.3, 0.2, 0.2 });
  domains.Run(seconds{ 2 });
  EXPECT_EQ(domains.Home().Share(), 0);
}

// Guards against domains that overload each other: two domains with a surplus
// see the same free capacity in the third.
TEST(TestDomainOverflow, NoMoreLeavesThanIsFreeElsewhere)
{
  three_domains domains{ { 1.5, 1.5, 0.5 } };
  for (int tick = 0; tick < 200; ++tick) {
    domains.Run(kTick);
    EXPECT_LE(domains.Use(2), 1) << tick;
  }
}

TEST(TestDomainOverflow, NothingLeavesForFullDomains)
{
  three_domains domains{ { 1.5, 1.2, 1.2 } };
  std::vector<double> const shares = domains.Run(seconds{ 10 });
  EXPECT_LT(*std::max_element(shares.begin() + 40, shares.end()), 0.01);
}

TEST(TestDomainOverflow, DeadBandKeepsTheShareUntilSixTenths)
{
  domain_overflow overflow;
  instant now{ seconds{ 100 } };
  auto const run = [&](double aUse) {
    std::vector<domain_load> const loads{
      { .mDomain = kHome, .mCapacity = 100, .mUsed = 100 * aUse },
      { .mDomain = failure_domain{ "b" }, .mCapacity = 200, .mUsed = 20 }
    };
    for (int tick = 0; tick < 100; ++tick)
      overflow.Update(now += kTick, kHome, loads);
    return overflow.Share();
  };
  EXPECT_EQ(run(0.75), 0);
  EXPECT_GT(run(0.85), 0.1);
  EXPECT_GT(run(0.7), 0);
  EXPECT_EQ(run(0.55), 0);
  EXPECT_EQ(run(0.75), 0);
}

TEST(TestDomainOverflow, DomainWithoutServersHasNoShare)
{
  domain_overflow overflow;
  std::vector<domain_load> const loads{
    { .mDomain = failure_domain{ "b" }, .mCapacity = 200, .mUsed = 190 }
  };
  overflow.Update(instant{ seconds{ 1 } }, kHome, loads);
  overflow.Update(instant{ seconds{ 2 } }, kHome, loads);
  EXPECT_EQ(overflow.Share(), 0);
}

}
}

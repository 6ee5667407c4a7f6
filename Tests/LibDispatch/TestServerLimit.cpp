#include <LibDispatch/InstanceOrder.h>
#include <LibDispatch/ServerLimit.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

instant const kNow{ seconds{ 100 } };
constexpr milliseconds kStep{ 10 };

std::vector<ready_instance>
Instances(std::size_t aCount)
{
  std::vector<ready_instance> ready;
  for (std::size_t index = 0; index < aCount; ++index)
    ready.push_back(
      { .mInstance = instance_id{ "entry-" + std::to_string(index) } });
  return ready;
}

// The same server's limit as each of the instances knows it.
std::vector<server_limit>
MakeLimits(std::size_t aInstances, double aRate)
{
  std::vector<server_limit> limits(aInstances);
  for (std::size_t index = 0; index < aInstances; ++index) {
    limits[index].SetPosition(kNow, index, aInstances);
    limits[index].Apply(kNow, aRate, kNow);
  }
  return limits;
}

// All instances send as many requests as they may; returns how many.
int
CountSends(std::vector<server_limit>& aLimits, instant aFrom, instant aUntil)
{
  int sends = 0;
  for (instant now = aFrom; now < aUntil; now += kStep) {
    for (server_limit& limit : aLimits) {
      while (limit.NextSendAt(now) <= now) {
        limit.OnSend(now);
        ++sends;
      }
    }
  }
  return sends;
}

class TestServerLimit : public testing::TestWithParam<double>
{};

TEST_P(TestServerLimit, SharesAddUpToTheLimit)
{
  for (std::size_t const instances : { 1U, 7U, 95U, 330U }) {
    std::vector<server_limit> limits = MakeLimits(instances, GetParam());
    instant const now = kNow + milliseconds{ 10 };
    double sum = 0;
    for (server_limit const& limit : limits)
      sum += limit.Share(now);
    EXPECT_NEAR(sum, GetParam(), GetParam() / 1'000) << instances;
  }
}

// The instances after the first ones take over by turns while no answer shows
// the limit, and never add to it.
TEST_P(TestServerLimit, InstancesTogetherSendNoMoreInAnySecondsWithoutNews)
{
  for (std::size_t const instances : { 1U, 7U, 95U }) {
    std::vector<server_limit> limits = MakeLimits(instances, GetParam());
    for (instant from = kNow; from < kNow + seconds{ 40 }; from += seconds{ 4 })
      EXPECT_LE(CountSends(limits, from, from + seconds{ 4 }),
                1.5 * GetParam() * 4 + 5)
        << instances;
  }
}

TEST_P(TestServerLimit, TheLimitIsUsed)
{
  for (std::size_t const instances : { 1U, 7U, 95U }) {
    std::vector<server_limit> limits = MakeLimits(instances, GetParam());
    int sends = 0;
    for (instant from = kNow; from < kNow + seconds{ 20 };
         from += seconds{ 1 }) {
      for (server_limit& limit : limits)
        limit.Apply(from, GetParam(), from);
      sends += CountSends(limits, from, from + seconds{ 1 });
    }
    EXPECT_GE(sends, 0.9 * GetParam() * 20 - 2) << instances;
  }
}

INSTANTIATE_TEST_SUITE_P(Rates,
                         TestServerLimit,
                         testing::Values(0.5, 1.5, 2.8, 12.0, 200.0));

TEST(TestServerLimits, OlderObservationsChangeNothing)
{
  server_limit limit;
  EXPECT_TRUE(limit.Apply(kNow, 2.0, kNow));
  EXPECT_FALSE(limit.Apply(kNow, std::nullopt, kNow - milliseconds{ 1 }));
  EXPECT_EQ(limit.RequestsPerSecond(), 2.0);
  EXPECT_TRUE(limit.Apply(kNow, std::nullopt, kNow + milliseconds{ 1 }));
  EXPECT_LE(limit.NextSendAt(kNow), kNow);
}

// Only answers show that a limit has ended, so a server that names zero still
// gets a request now and then.
TEST(TestServerLimits, ServerThatTakesNothingIsAskedAgain)
{
  std::vector<server_limit> limits = MakeLimits(7, 0);
  int const sends = CountSends(limits, kNow, kNow + seconds{ 20 });
  EXPECT_GE(sends, 2);
  EXPECT_LE(sends, 5);
}

TEST(TestServerLimits, HugeLimitsAreNone)
{
  std::vector<server_limit> limits = MakeLimits(7, 1e300);
  EXPECT_LE(limits[6].NextSendAt(kNow + kStep), kNow + kStep);
}

TEST(TestInstanceOrder, InstancesAgreeOnTheFirstOnes)
{
  std::vector<ready_instance> const ready = Instances(7);
  for (std::uint64_t key = 1; key < 50; ++key) {
    std::vector<std::size_t> positions;
    for (ready_instance const& self : ready) {
      instance_order order{ self.mInstance };
      EXPECT_TRUE(order.Update(ready));
      EXPECT_FALSE(order.Update(ready));
      EXPECT_EQ(order.Count(), 7U);
      positions.push_back(order.Position(key * 977));
    }
    std::sort(positions.begin(), positions.end());
    EXPECT_EQ(positions, (std::vector<std::size_t>{ 0, 1, 2, 3, 4, 5, 6 }));
  }
}

}
}

#include <LibFleet/LimitNotices.h>
#include <LibFleet/ServerLimits.h>

#include <gtest/gtest.h>

#include <chrono>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

instant const kNow{ seconds{ 100 } };

observed_limit
Limit(std::optional<double> aRate, instant aAt, std::uint64_t aIncarnation = 1)
{
  return { .mServer = { backend_server_id{ "engine" },
                        incarnation{ aIncarnation } },
           .mRequestsPerSecond = aRate,
           .mObservedAt = aAt };
}

std::size_t
Merge(server_limits& aLimits, observed_limit const& aObserved)
{
  return aLimits.Merge({ &aObserved, 1 }).size();
}

TEST(TestServerLimits, TheNewestObservationCounts)
{
  server_limits limits;
  EXPECT_EQ(Merge(limits, Limit(2, kNow)), 1U);
  EXPECT_EQ(Merge(limits, Limit(std::nullopt, kNow - milliseconds{ 1 })), 0U);
  EXPECT_EQ(Merge(limits, Limit(std::nullopt, kNow + milliseconds{ 1 })), 1U);
  EXPECT_EQ(limits.List().front().mRequestsPerSecond, std::nullopt);
}

std::optional<double>
RateOf(server_limits const& aLimits, std::uint64_t aIncarnation)
{
  for (observed_limit const& limit : aLimits.List()) {
    if (limit.mServer.mIncarnation == incarnation{ aIncarnation })
      return limit.mRequestsPerSecond;
  }
  return std::nullopt;
}

// Guards against a limit that isn't passed on since its server restarted with a
// lower number, and against late news of the time before a restart.
TEST(TestServerLimits, ALimitBelongsToOneIncarnation)
{
  for (std::uint64_t const restarted : { 4, 6 }) {
    server_limits limits;
    Merge(limits, Limit(2, kNow, 5));
    EXPECT_EQ(RateOf(limits, restarted), std::nullopt);
    EXPECT_EQ(Merge(limits, Limit(5, kNow - seconds{ 1 }, restarted)), 1U);
    Merge(limits, Limit(2, kNow + seconds{ 1 }, 5));
    EXPECT_EQ(RateOf(limits, restarted), 5);
  }
}

// Guards against two instances that keep passing the same observation to each
// other, a little younger each time.
TEST(TestServerLimits, AnObservationIsNewsOnce)
{
  server_limits limits;
  Merge(limits, Limit(2, kNow));
  std::vector<limit_notice> const notices =
    MakeLimitNotices(kNow + seconds{ 1 }, limits.List());
  EXPECT_EQ(notices.front().mAge, seconds{ 1 });
  std::vector<observed_limit> const received =
    ReadLimitNotices(kNow + milliseconds{ 1'120 }, notices);
  EXPECT_EQ(limits.Merge(received).size(), 0U);
}

TEST(TestServerLimits, ForgetsWhatNoInstanceRepeats)
{
  server_limits limits;
  Merge(limits, Limit(2, kNow));
  limits.Prune(kNow + seconds{ 30 });
  EXPECT_EQ(limits.List().size(), 1U);
  limits.Prune(kNow + seconds{ 61 });
  EXPECT_TRUE(limits.List().empty());
}

}
}

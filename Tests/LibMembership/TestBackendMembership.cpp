#include <LibMembership/BackendMembership.h>

#include <gtest/gtest.h>

#include <random>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

backend_server_id const kServer{ "w1" };

std::vector<pool_row>
Pools()
{
  return { { .mName = pool_name{ "assistant" },
             .mServers = { { .mId = kServer } } } };
}

backend_report
Report(std::uint64_t aIncarnation, member_state aState = member_state::Live)
{
  return { .mServer = kServer,
           .mIncarnation = incarnation{ aIncarnation },
           .mState = aState };
}

class backend_membership_test : public testing::Test
{
protected:
  backend_membership_test() { mServers.SetPools(Pools()); }

  [[nodiscard]] backend_availability Availability() const
  {
    return mServers.Availability(kServer, mNow);
  }

  backend_membership mServers{ {} };
  instant mNow = instant{} + seconds{ 100 };
};

TEST_F(backend_membership_test, UsableBeforeItsFirstReportAndRemovedWithItsPool)
{
  EXPECT_EQ(Availability(), backend_availability::Usable);
  mServers.SetPools({});
  EXPECT_EQ(Availability(), backend_availability::Removed);
}

TEST_F(backend_membership_test, LeavingEndsWithTheIncarnation)
{
  EXPECT_TRUE(mServers.OnReport(Report(1), mNow));
  EXPECT_FALSE(mServers.OnReport(Report(1, member_state::Leaving), mNow));
  mServers.OnReport(Report(1), mNow);
  EXPECT_EQ(Availability(), backend_availability::Leaving);
  EXPECT_TRUE(mServers.OnReport(Report(2), mNow));
  EXPECT_EQ(Availability(), backend_availability::Usable);
  EXPECT_FALSE(mServers.OnReport(Report(1, member_state::Leaving), mNow));
  EXPECT_EQ(Availability(), backend_availability::Usable);
  EXPECT_EQ(mServers.IncarnationOf(kServer), incarnation{ 2 });
}

// Guards against a server that counts as unresponsive for good: it restarted
// after its clock had jumped back.
TEST_F(backend_membership_test, RestartIsUsableWhateverItsNumber)
{
  for (std::uint64_t const number : { 4, 6 }) {
    backend_membership servers{ {} };
    servers.SetPools(Pools());
    servers.OnReport(Report(5), mNow);
    EXPECT_TRUE(servers.OnReport(Report(number), mNow + seconds{ 20 }));
    EXPECT_EQ(servers.IncarnationOf(kServer), incarnation{ number });
    EXPECT_EQ(servers.Availability(kServer, mNow + seconds{ 20 }),
              backend_availability::Usable);
    // A late report of the process before changes nothing.
    EXPECT_FALSE(servers.OnReport(Report(5), mNow + seconds{ 21 }));
    EXPECT_EQ(servers.IncarnationOf(kServer), incarnation{ number });
  }
}

TEST_F(backend_membership_test, DispatchDetectsARestartSinceTheChoice)
{
  mServers.OnReport(Report(1), mNow);
  std::optional<incarnation> const chosen = mServers.IncarnationOf(kServer);
  EXPECT_EQ(mServers.AvailabilityAtDispatch(kServer, chosen, mNow),
            backend_availability::Usable);
  mServers.OnReport(Report(2), mNow);
  EXPECT_EQ(mServers.AvailabilityAtDispatch(kServer, chosen, mNow),
            backend_availability::Restarted);
}

TEST_F(backend_membership_test, APoolChangeKeepsTheIncarnation)
{
  mServers.OnReport(Report(5), mNow);
  mServers.SetPools(Pools());
  EXPECT_EQ(mServers.IncarnationOf(kServer), incarnation{ 5 });
}

// A server reports at intervals until it leaves, with or without announcing it.
// Reports are lost, delayed and reordered. Returns the longest time after it
// left at which it was still usable.
duration
LongestUseAfterLeaving(backend_membership_options aOptions, std::uint32_t aSeed)
{
  std::mt19937 random{ aSeed };
  std::uniform_int_distribution<int> percent{ 0, 99 };
  std::uniform_int_distribution<int> late{ 0, 400 };
  backend_membership servers{ aOptions };
  servers.SetPools(Pools());
  instant const left = instant{} + seconds{ 30 };
  bool const isAnnounced = percent(random) < 50;
  std::multimap<instant, backend_report> arrivals;
  for (instant sent{}; sent < left + seconds{ 20 }; sent += seconds{ 1 }) {
    bool const isLost = percent(random) < 20;
    if (isLost || (sent >= left && !isAnnounced))
      continue;
    member_state const state =
      sent >= left ? member_state::Leaving : member_state::Live;
    arrivals.emplace(sent + milliseconds{ late(random) }, Report(1, state));
  }
  duration longest{};
  for (instant now{}; now < left + seconds{ 20 }; now += milliseconds{ 20 }) {
    while (!arrivals.empty() && arrivals.begin()->first <= now) {
      servers.OnReport(arrivals.begin()->second, now);
      arrivals.erase(arrivals.begin());
    }
    if (servers.Availability(kServer, now) == backend_availability::Usable)
      longest = std::max(longest, now - left);
  }
  return longest;
}

TEST(TestBackendMembership, ALeavingServerIsNotUsableAfterThreeSeconds)
{
  for (std::uint32_t seed = 0; seed < 500; ++seed)
    EXPECT_LT(LongestUseAfterLeaving({}, seed), seconds{ 3 })
      << "seed " << seed;
}

// With a very long report timeout, a server that leaves without announcing it
// stays usable. This shows that the bound above can fail.
TEST(TestBackendMembership, ALongReportTimeoutKeepsALeavingServerUsable)
{
  duration longest{};
  for (std::uint32_t seed = 0; seed < 20; ++seed)
    longest = std::max(
      longest,
      LongestUseAfterLeaving({ .mReportTimeout = seconds{ 600 } }, seed));
  EXPECT_GT(longest, seconds{ 3 });
}

}
}

#include <LibMembership/FixedHeartbeatSupervisor.h>
#include <LibMembership/LinkSupervisor.h>
#include <LibMembership/QuietLinkSupervisor.h>

#include <gtest/gtest.h>

#include <random>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

static_assert(link_supervisor<quiet_link_supervisor>);
static_assert(link_supervisor<fixed_heartbeat_supervisor>);

constexpr quiet_link_options kQuiet{ .mHeartbeatInterval = duration::zero() };

TEST(TestQuietLinkSupervisor, SendsNoPingsWhileTrafficArrives)
{
  instant now{};
  quiet_link_supervisor link{ kQuiet, now };
  for (int i = 0; i < 1000; ++i) {
    now += milliseconds{ 100 };
    link.OnReceived(now);
    EXPECT_EQ(link.Check(now), link_check::None);
  }
}

TEST(TestQuietLinkSupervisor, SendsHeartbeatsOverABusyLink)
{
  instant now{};
  quiet_link_supervisor link{ {}, now };
  int heartbeats = 0;
  for (int i = 0; i < 100; ++i) {
    now += milliseconds{ 100 };
    link.OnReceived(now);
    link_check const check = link.Check(now);
    ASSERT_TRUE(check == link_check::None || check == link_check::Heartbeat);
    heartbeats += check == link_check::Heartbeat;
  }
  EXPECT_EQ(heartbeats, 10);
}

TEST(TestQuietLinkSupervisor, AnUnresponsivePeerIsPingedThenDead)
{
  instant now{};
  quiet_link_supervisor link{ kQuiet, now };
  std::uint32_t pings = 0;
  link_check check = link_check::None;
  while (check != link_check::Dead && now < instant{} + seconds{ 60 }) {
    now += milliseconds{ 100 };
    check = link.Check(now);
    pings += check == link_check::Ping;
  }
  EXPECT_EQ(pings, kQuiet.mPingLimit);
  EXPECT_EQ(now - instant{},
            kQuiet.mQuietInterval + kQuiet.mPingLimit * kQuiet.mPingInterval);
}

TEST(TestQuietLinkSupervisor, AfterItsOwnPauseItPingsThePeerFirst)
{
  instant now{};
  quiet_link_supervisor link{ kQuiet, now };
  now += seconds{ 30 };
  EXPECT_EQ(link.Check(now), link_check::Ping);
  now += milliseconds{ 100 };
  link.OnReceived(now);
  EXPECT_EQ(link.Check(now), link_check::None);
}

// A live peer answers each ping after a delay of up to 1500 ms. It must never
// count as dead.
TEST(TestQuietLinkSupervisor, AnsweringPeersStayAliveOverSlowLinks)
{
  for (std::uint32_t seed = 0; seed < 300; ++seed) {
    std::mt19937 random{ seed };
    std::uniform_int_distribution<int> delay{ 1, 1500 };
    instant now{};
    quiet_link_supervisor link{ kQuiet, now };
    std::vector<instant> answers;
    for (int i = 0; i < 600; ++i) {
      now += milliseconds{ 100 };
      std::erase_if(answers, [&](instant aAt) {
        if (aAt > now)
          return false;
        link.OnReceived(now);
        return true;
      });
      link_check const check = link.Check(now);
      ASSERT_NE(check, link_check::Dead) << "seed " << seed;
      if (check == link_check::Ping)
        answers.push_back(now + milliseconds{ delay(random) });
    }
  }
}

TEST(TestFixedHeartbeatSupervisor, SendsAtEachIntervalAndTimesOut)
{
  constexpr fixed_heartbeat_options kFixed;
  instant now{};
  fixed_heartbeat_supervisor link{ kFixed, now };
  int heartbeats = 0;
  for (int i = 0; i < 100; ++i) {
    now += milliseconds{ 100 };
    link.OnReceived(now);
    heartbeats += link.Check(now) == link_check::Heartbeat;
  }
  EXPECT_EQ(heartbeats, 10);
  now += kFixed.mTimeout;
  EXPECT_EQ(link.Check(now), link_check::Dead);
}

}
}

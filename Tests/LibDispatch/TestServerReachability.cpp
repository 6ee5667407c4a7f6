#include <LibDispatch/ServerReachability.h>

#include <gtest/gtest.h>

namespace lycheeseam {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

instant const kNow = instant{} + seconds{ 100 };
constexpr std::size_t kServers = 16;

backend_server_id
Server(int aNumber)
{
  return backend_server_id{ "s" + std::to_string(aNumber) };
}

TEST(TestServerReachability, FailuresOfSeveralServersInARowMeanCutOff)
{
  server_reachability reachability;
  EXPECT_FALSE(reachability.OnUnreachable(kNow, Server(1), kServers));
  EXPECT_FALSE(reachability.OnUnreachable(kNow, Server(2), kServers));
  EXPECT_TRUE(reachability.OnUnreachable(kNow, Server(3), kServers));
  EXPECT_TRUE(reachability.IsCutOff());
}

// Guards against a detour because one server is down.
TEST(TestServerReachability, FailuresOfOneServerDoNot)
{
  server_reachability reachability;
  for (int tries = 0; tries < 10; ++tries)
    EXPECT_FALSE(reachability.OnUnreachable(kNow, Server(1), kServers));
}

TEST(TestServerReachability, FailuresAroundAnOpenedConnectionDoNot)
{
  server_reachability reachability;
  for (int server = 0; server < 9; ++server) {
    EXPECT_FALSE(reachability.OnUnreachable(kNow, Server(server), kServers));
    EXPECT_FALSE(reachability.OnConnected());
  }
}

TEST(TestServerReachability, FailuresThatAreFarApartDoNot)
{
  server_reachability reachability;
  for (int server = 0; server < 9; ++server)
    EXPECT_FALSE(reachability.OnUnreachable(
      kNow + server * seconds{ 2 }, Server(server), kServers));
}

TEST(TestServerReachability, AllServersOfASmallFleetSuffice)
{
  server_reachability reachability;
  EXPECT_TRUE(reachability.OnUnreachable(kNow, Server(1), 1));
}

TEST(TestServerReachability, ProbesAreDueAtIntervalsUntilAConnectionOpens)
{
  server_reachability reachability;
  EXPECT_FALSE(reachability.TakeProbe(kNow));
  EXPECT_TRUE(reachability.OnUnreachable(kNow, Server(1), 1));
  int probes = 0;
  for (milliseconds at{}; at < seconds{ 4 }; at += milliseconds{ 20 })
    probes += reachability.TakeProbe(kNow + at) ? 1 : 0;
  EXPECT_GE(probes, 4);
  EXPECT_LE(probes, 16);
  EXPECT_TRUE(reachability.OnConnected());
  EXPECT_FALSE(reachability.IsCutOff());
  EXPECT_FALSE(reachability.TakeProbe(kNow + seconds{ 9 }));
}

}

}

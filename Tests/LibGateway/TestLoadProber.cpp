#include "GatewayFixture.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <string>
#include <thread>

namespace lycheeseam {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string const kHealth = "GET /health HTTP/1.1";

bool
IsProbe(std::string const& aRequest)
{
  return aRequest.starts_with(kHealth);
}

std::size_t
CountProbes(scripted_server& aServer)
{
  std::vector<std::string> const requests = aServer.Requests();
  return static_cast<std::size_t>(
    std::count_if(requests.begin(), requests.end(), IsProbe));
}

// A busy server; its health path gives aHealth.
auto
BusyServer(std::string const& aLoad, std::string const& aHealth)
{
  return [aLoad, aHealth](std::string const& aRequest) {
    return IsProbe(aRequest) ? aHealth
                             : Answer("a", "Server-Load: " + aLoad + "\r\n");
  };
}

std::string
HealthAnswer(std::string const& aId)
{
  return "HTTP/1.1 200 OK\r\nInstance-Id: " + aId +
         "\r\nServer-Load: 20,4,8,150\r\nContent-Length: 2\r\n\r\nok";
}

class TestLoadProber : public TestGateway
{
protected:
  TestLoadProber() { mHealthPath = "/health"; }

  // Sends requests until the server was probed, each of which must be answered;
  // false when that takes too long. On a busy machine the moments at which a
  // report is old enough, but still counts, may pass unused.
  bool IsProbed(scripted_server& aServer)
  {
    constexpr int kRequests = 5;
    constexpr int kChecks = 50;
    for (int request = 0; request < kRequests; ++request) {
      EXPECT_TRUE(Exchange(Request("/safe/x")).ends_with("\r\n\r\na"));
      for (int check = 0; check < kChecks; ++check) {
        if (CountProbes(aServer) > 0)
          return true;
        std::this_thread::sleep_for(milliseconds{ 20 });
      }
    }
    return false;
  }
};

TEST_F(TestLoadProber, ServerIsProbedOnceItsReportIsOld)
{
  scripted_server server{ BusyServer("20,4,8,100", HealthAnswer("s0")) };
  StartGateway(std::array{ &server });
  EXPECT_TRUE(IsProbed(server));
  // At most one probe for each request.
  std::this_thread::sleep_for(seconds{ 1 });
  EXPECT_LE(2 * CountProbes(server), server.Requests().size());
}

// Guards against probes of deployments whose servers send three figures.
TEST_F(TestLoadProber, ServerThatReportsNoSlowdownIsNotProbed)
{
  scripted_server server{ BusyServer("20,4,8", HealthAnswer("s0")) };
  StartGateway(std::array{ &server });
  EXPECT_TRUE(Exchange(Request("/safe/x")).ends_with("a"));
  std::this_thread::sleep_for(milliseconds{ 1'200 });
  EXPECT_EQ(CountProbes(server), 0U);
}

TEST_F(TestLoadProber, NothingIsProbedWithoutAHealthPath)
{
  mHealthPath.clear();
  scripted_server server{ BusyServer("20,4,8,100", HealthAnswer("s0")) };
  StartGateway(std::array{ &server });
  EXPECT_TRUE(Exchange(Request("/safe/x")).ends_with("a"));
  std::this_thread::sleep_for(milliseconds{ 1'200 });
  EXPECT_EQ(server.Requests().size(), 1U);
}

class TestProbeAnswers
  : public TestLoadProber
  , public testing::WithParamInterface<char const*>
{};

// Guards against requests that fail because a probe did.
TEST_P(TestProbeAnswers, RequestsAreServedWhateverBecomesOfAProbe)
{
  scripted_server server{ BusyServer("20,4,8,100", GetParam()) };
  StartGateway(std::array{ &server });
  EXPECT_TRUE(IsProbed(server));
  for (int request = 0; request < 3; ++request) {
    EXPECT_TRUE(Exchange(Request("/safe/x")).ends_with("\r\n\r\na"));
    std::this_thread::sleep_for(milliseconds{ 200 });
  }
}

INSTANTIATE_TEST_SUITE_P(
  Kinds,
  TestProbeAnswers,
  testing::Values("hang",
                  "close",
                  "HTTP/1.1 503 Leaving\r\nContent-Length: 0\r\n\r\n",
                  "no HTTP\r\n\r\n"));

}

}

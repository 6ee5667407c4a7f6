#include "GatewayFixture.h"

#include <array>
#include <chrono>
#include <string>
#include <thread>

namespace lycheeseam {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

std::string
TurnedAway(std::string const& aRetryAfter)
{
  return "HTTP/1.1 503 Full\r\nRequest-Id: r1\r\nNot-Run: 1\r\nRetry-After: " +
         aRetryAfter + "\r\nContent-Length: 0\r\n\r\n";
}

// Guards against requests to a server that has asked for a pause.
TEST_F(TestGateway, ServerThatAskedForAPauseGetsNoRequestsUntilItEnds)
{
  scripted_server paused{ { TurnedAway("1"), Answer("back") } };
  scripted_server other{ { Answer("a"), Answer("b"), Answer("c") } };
  StartGateway(std::array{ &paused, &other });
  steady_clock::time_point const start = steady_clock::now();
  EXPECT_TRUE(Exchange(Request("/safe/x")).ends_with("\r\n\r\na"));
  mView.Publish(std::make_shared<fleet_view const>(*mView.Current()));
  EXPECT_TRUE(Exchange(Request("/safe/x")).ends_with("\r\n\r\nb"));
  EXPECT_TRUE(Exchange(Request("/once/x")).ends_with("\r\n\r\nc"));
  EXPECT_EQ(paused.Requests().size(), 1U);
  std::this_thread::sleep_until(start + milliseconds{ 1'100 });
  EXPECT_TRUE(Exchange(Request("/safe/x")).ends_with("\r\n\r\nback"));
}

// A request that no server will take in time is refused at once, and its caller
// learns when to come back.
TEST_F(TestGateway, RequestIsRefusedAtOnceWhileAllServersPause)
{
  scripted_server server{ { TurnedAway("2"), Answer("too early") } };
  StartGateway(std::array{ &server });
  EXPECT_TRUE(Exchange(Request("/safe/x")).starts_with("HTTP/1.1 503"));
  // A request on this route would wait a second for capacity.
  dispatch_route patient = Route("/once/", request_kind::NonIdempotent, 1);
  patient.mTargetLatency = std::chrono::seconds{ 8 };
  fleet_view view = *mView.Current();
  view.mConfig =
    std::make_shared<dispatch_config const>(2,
                                            std::vector{ patient },
                                            view.mConfig->Pools(),
                                            view.mConfig->Workspaces(),
                                            caller_limits{});
  mView.Publish(std::make_shared<fleet_view const>(std::move(view)));
  steady_clock::time_point const start = steady_clock::now();
  std::string const answer = Exchange(Request("/once/x"));
  EXPECT_LT(steady_clock::now() - start, milliseconds{ 500 });
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503"));
  std::size_t const field = answer.find("Retry-After: ");
  ASSERT_NE(field, std::string::npos);
  double const seconds = std::stod(answer.substr(field + 13));
  EXPECT_GT(seconds, 1.5);
  EXPECT_LT(seconds, 2.5);
  EXPECT_EQ(server.Requests().size(), 1U);
}

}

}

#include "GatewayFixture.h"

#include <array>
#include <string>

namespace lycheeseam {

namespace {

std::string const kBrittle = "Server-Brittle: 2\r\n";

std::string
BrittleAnswer(std::string const& aBody, std::string const& aHeaders = {})
{
  return Answer(aBody, kBrittle + aHeaders);
}

std::string
Rejection()
{
  return "HTTP/1.1 503 Full\r\nRequest-Id: r1\r\nNot-Run: 1\r\n" + kBrittle +
         "Content-Length: 0\r\n\r\n";
}

// Guards against servers that fall over because they had to reject too many
// requests.
TEST_F(TestGateway, BrittleServerThatRejectsARequestGetsNoneForAWhile)
{
  scripted_server full{ [](std::string const&) { return Rejection(); } };
  scripted_server free{ [](std::string const&) { return BrittleAnswer("a"); } };
  StartGateway(std::array{ &full, &free });
  constexpr int kRequests = 6;
  for (int sent = 0; sent < kRequests; ++sent)
    EXPECT_TRUE(Exchange(Request("/safe/x")).ends_with("\r\n\r\na"));
  EXPECT_LE(full.Requests().size(), 1U);
}

TEST_F(TestGateway, RequestIsRefusedAtOnceWhileAllBrittleServersReject)
{
  scripted_server server{ [](std::string const&) { return Rejection(); } };
  StartGateway(std::array{ &server });
  EXPECT_TRUE(Contains(Exchange(Request("/safe/x")), "HTTP/1.1 503"));
  std::string const answer = Exchange(Request("/safe/x"));
  EXPECT_TRUE(Contains(answer, "HTTP/1.1 503"));
  EXPECT_TRUE(Contains(answer, "Retry-After: "));
  EXPECT_EQ(server.Requests().size(), 1U);
}

// A request that has to wait there may be rejected.
TEST_F(TestGateway, BrittleServerWithoutAFreeSlotGetsNoRequest)
{
  scripted_server busy{ { BrittleAnswer("a", "Server-Load: 8,1,8\r\n"),
                          BrittleAnswer("late") } };
  StartGateway(std::array{ &busy });
  EXPECT_TRUE(Exchange(Request("/safe/x")).ends_with("\r\n\r\na"));
  EXPECT_TRUE(Contains(Exchange(Request("/once/x")), "HTTP/1.1 503"));
  EXPECT_EQ(busy.Requests().size(), 1U);
}

TEST_F(TestGateway, OtherServersOfTheServiceCountAsBrittleAsWell)
{
  scripted_server first{ { BrittleAnswer("a", "Server-Leaving: 1\r\n") } };
  scripted_server second{ [](std::string const&) {
    return "HTTP/1.1 503 Full\r\nRequest-Id: r1\r\nNot-Run: 1\r\n"
           "Content-Length: 0\r\n\r\n";
  } };
  StartGateway(std::array{ &first, &second });
  EXPECT_TRUE(Exchange(Request("/safe/x")).ends_with("\r\n\r\na"));
  constexpr int kRequests = 4;
  for (int sent = 0; sent < kRequests; ++sent)
    EXPECT_TRUE(Contains(Exchange(Request("/safe/x")), "HTTP/1.1 503"));
  EXPECT_EQ(second.Requests().size(), 1U);
}

// A server that isn't brittle may be asked again at once.
TEST_F(TestGateway, RejectionsOfOtherServersArePassedOver)
{
  scripted_server server{ { "HTTP/1.1 503 Full\r\nRequest-Id: r1\r\nNot-Run: "
                            "1\r\nContent-Length: 0\r\n\r\n",
                            Answer("a") } };
  StartGateway(std::array{ &server });
  EXPECT_TRUE(Contains(Exchange(Request("/safe/x")), "HTTP/1.1 503"));
  EXPECT_TRUE(Exchange(Request("/safe/x")).ends_with("\r\n\r\na"));
}

}

}

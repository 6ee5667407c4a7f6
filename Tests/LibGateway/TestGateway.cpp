#include "GatewayFixture.h"

#include <array>
#include <thread>

namespace lycheeseam {

namespace {

TEST_F(TestGateway, ForwardedRequestDropsKeyAndReservedHeaders)
{
  scripted_server server{ { Answer("done") } };
  StartGateway(std::array{ &server });
  std::string const answer = Exchange(
    Request("/safe/x?q=1", "X-Own: 1\r\nTenant: forged\r\nKv-From: x\r\n"));
  EXPECT_TRUE(Contains(answer, "200 OK"));
  EXPECT_TRUE(Contains(answer, "Server-Stamp: s"));
  EXPECT_TRUE(answer.ends_with("\r\n\r\ndone"));
  ASSERT_EQ(server.Requests().size(), 1U);
  std::string const seen = server.Requests()[0];
  EXPECT_TRUE(seen.starts_with("POST /safe/x?q=1 HTTP/1.1\r\n"));
  EXPECT_TRUE(seen.ends_with("\r\n\r\nhello"));
  EXPECT_TRUE(Contains(seen, "X-Own: 1"));
  EXPECT_TRUE(Contains(seen, "Tenant: shop"));
  EXPECT_TRUE(Contains(seen, "Expect-Instance: s0"));
  EXPECT_FALSE(Contains(seen, "secret"));
  EXPECT_FALSE(Contains(seen, "forged"));
  EXPECT_FALSE(Contains(seen, "Kv-From"));
}

TEST_F(TestGateway, RefusesUnknownRouteUnknownKeyAndInvalidRequest)
{
  scripted_server server{ std::vector<std::string>{} };
  StartGateway(std::array{ &server });
  EXPECT_TRUE(Contains(Exchange(Request("/none/")), "404"));
  std::string unknown = Request("/safe/x");
  unknown.replace(unknown.find("secret"), 6, "wrong!");
  EXPECT_TRUE(Contains(Exchange(unknown), "401"));
  EXPECT_TRUE(Contains(Exchange("nonsense\r\n\r\n"), "400"));
  EXPECT_TRUE(server.Requests().empty());
}

TEST_F(TestGateway, ForwardsChunkedBodyWithContentLength)
{
  scripted_server server{ { Answer("done") } };
  StartGateway(std::array{ &server });
  std::string const answer = Exchange(
    "POST /safe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nAuthorization: "
    "Bearer secret\r\nConnection: close\r\nTransfer-Encoding: "
    "chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n");
  EXPECT_TRUE(Contains(answer, "200 OK"));
  EXPECT_TRUE(server.Requests()[0].ends_with("hello"));
  EXPECT_TRUE(Contains(server.Requests()[0], "Content-Length: 5"));
}

TEST_F(TestGateway, RequestThatDidNotRunIsSentToAnotherServer)
{
  std::string const full =
    "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
  scripted_server first{ { full, Answer("first") } };
  scripted_server second{ { full, Answer("second") } };
  StartGateway(std::array{ &first, &second });
  EXPECT_TRUE(Contains(Exchange(Request("/once/x")), "503"));
  EXPECT_EQ(first.Requests().size() + second.Requests().size(), 2U);
}

// Guards against refusals while a part of a pool is down: a failed connection
// is no arrival at a server, so neither the route's attempts nor the retry
// budget limit the next try.
TEST_F(TestGateway, RequestPassesOverServersThatRefuseConnections)
{
  scripted_server live{ { Answer("ok") } };
  StartGatewayAt(std::array{ FreeAddress(),
                             FreeAddress(),
                             FreeAddress(),
                             FreeAddress(),
                             live.Address() });
  EXPECT_TRUE(Exchange(Request("/once/x")).ends_with("\r\n\r\nok"));
}

TEST_F(TestGateway, NonIdempotentRequestThatMayHaveRunIsNotRetried)
{
  scripted_server first{ { "close", Answer("again") } };
  scripted_server second{ { "close", Answer("again") } };
  StartGateway(std::array{ &first, &second });
  EXPECT_TRUE(Contains(Exchange(Request("/once/x")), "502"));
  EXPECT_EQ(first.Requests().size() + second.Requests().size(), 1U);
}

TEST_F(TestGateway, IdempotentRequestIsRetriedOnAnotherServer)
{
  scripted_server first{ { "close", Answer("x") } };
  scripted_server second{ { "close", Answer("x") } };
  StartGateway(std::array{ &first, &second });
  // Both servers close on their first request, which uses up the route's two
  // attempts.
  EXPECT_TRUE(Contains(Exchange(Request("/safe/x")), "502"));
  EXPECT_TRUE(Contains(Exchange(Request("/safe/x")), "200 OK"));
}
}

}

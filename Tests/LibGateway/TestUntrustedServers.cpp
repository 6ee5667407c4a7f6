#include "GatewayFixture.h"

#include <array>
#include <chrono>
#include <string>

namespace lycheeseam {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

std::string
WithId(std::string aText, std::string const& aId)
{
  return aText.replace(aText.find("r1"), 2, aId);
}

std::string
WithoutId(std::string aAnswer)
{
  std::string const field = "Request-Id: r1\r\n";
  return aAnswer.erase(aAnswer.find(field), field.size());
}

std::string
NotRunHead()
{
  return "HTTP/1.1 503 Full\r\nRequest-Id: r1\r\nNot-Run: 1\r\n";
}

// Guards against a late second copy of an answer on a connection that is in use
// again: the next caller would get an answer that isn't its own.
TEST_F(TestGateway, LateCopyOfAnAnswerIsNotPassedToTheNextCaller)
{
  scripted_server server{
    { Answer("first"), Answer("first") + WithId(Answer("second"), "r2") }
  };
  StartGateway(std::array{ &server });
  EXPECT_TRUE(Exchange(Request("/once/x")).ends_with("\r\n\r\nfirst"));
  EXPECT_TRUE(
    Exchange(WithId(Request("/once/x"), "r2")).ends_with("\r\n\r\nsecond"));
}

// The same with a copy that doesn't say whose answer it is.
TEST_F(TestGateway, AnswerWithoutIdOnAReusedConnectionIsRejected)
{
  scripted_server server{ { Answer("first"), WithoutId(Answer("first")) } };
  StartGateway(std::array{ &server });
  EXPECT_TRUE(Exchange(Request("/once/x")).ends_with("\r\n\r\nfirst"));
  std::string const answer = Exchange(WithId(Request("/once/x"), "r2"));
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 502"));
  EXPECT_FALSE(Contains(answer, "first"));
}

TEST_F(TestGateway, RefusalWithoutIdOnAReusedConnectionProvesNothing)
{
  std::string const refusal =
    WithoutId(NotRunHead() + "Content-Length: 0\r\n\r\n");
  scripted_server server{ { Answer("first"), refusal } };
  StartGateway(std::array{ &server });
  EXPECT_TRUE(Exchange(Request("/once/x")).ends_with("\r\n\r\nfirst"));
  EXPECT_TRUE(
    Exchange(WithId(Request("/once/x"), "r2")).starts_with("HTTP/1.1 502"));
}

TEST_F(TestGateway, BytesAfterAnAnswerAreNotTakenForTheNextOne)
{
  scripted_server server{ { Answer("first") + WithId(Answer("stray"), "r2"),
                            WithId(Answer("second"), "r2") } };
  StartGateway(std::array{ &server });
  EXPECT_TRUE(Exchange(Request("/once/x")).ends_with("\r\n\r\nfirst"));
  EXPECT_TRUE(
    Exchange(WithId(Request("/once/x"), "r2")).ends_with("\r\n\r\nsecond"));
}

// More than the system buffers of a connection, and far less than the memory of
// an instance.
constexpr std::size_t kMaxTakenBytes = 33'554'432;

/// Answers without end that no caller may get.
class TestEndlessAnswer
  : public TestGateway
  , public testing::WithParamInterface<std::string>
{};

// Guards against a server that sends bytes that are no answer until its
// connection is closed: the request goes to another server in bounded time.
TEST_P(TestEndlessAnswer, RequestGoesToAnotherServer)
{
  std::shared_ptr<answer_script> const script = std::make_shared<answer_script>(
    std::vector<std::string>{ GetParam(), Answer("whole") });
  scripted_server first{ script };
  scripted_server second{ script };
  StartGateway(std::array{ &first, &second });
  steady_clock::time_point const start = steady_clock::now();
  EXPECT_TRUE(Exchange(Request("/safe/x")).ends_with("\r\n\r\nwhole"));
  EXPECT_LT(steady_clock::now() - start, milliseconds{ 1'000 });
  EXPECT_LT(first.FloodBytes() + second.FloodBytes(), kMaxTakenBytes);
}

INSTANTIATE_TEST_SUITE_P(
  Floods,
  TestEndlessAnswer,
  testing::Values("\bx\f",
                  "HTTP/1.1 200 \bx\f",
                  "HTTP/1.1 200 OK\r\nField: \bx\f",
                  "HTTP/1.1 200 OK\r\n\bA: b\r\n\f",
                  "\bHTTP/1.1 100 Continue\r\n\r\n\f",
                  "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n\bx\f",
                  "HTTP/1.1 500 Failed\r\nRequest-Id: r1\r\n"
                  "Server-Stamp: s\r\n\r\n\bx\f",
                  NotRunHead() + "\r\n\bx\f",
                  NotRunHead() + "\r\n\bx\v",
                  WithId(StreamHead(), "r0") + "\b1\r\nx\r\n\f",
                  // What the parser reads between and after the chunks of a
                  // body, and doesn't limit.
                  StreamHead() + "\b5\f",
                  StreamHead() + "5;\bx\f",
                  StreamHead() + "5;a=\"\bx\f",
                  StreamHead() + "1\r\nx\r\n5;\bx\f",
                  StreamHead() + "0;\bx\f",
                  StreamHead() + "0\r\n\bA: b\r\n\f",
                  StreamHead() + "0\r\nA: \bx\f"));

/// Streams without end.
class TestEndlessStream
  : public TestGateway
  , public testing::WithParamInterface<std::string>
{};

// An answer that its caller gets ends by the caller's time limit at the latest,
// and never looks complete.
TEST_P(TestEndlessStream, EndsIncompleteByTheTimeLimit)
{
  scripted_server server{ { GetParam() } };
  StartGateway(std::array{ &server });
  steady_clock::time_point const start = steady_clock::now();
  std::string const answer = Exchange(Request("/single/x"));
  EXPECT_LT(steady_clock::now() - start, milliseconds{ 2'000 });
  EXPECT_FALSE(answer.ends_with(kLastChunk));
  EXPECT_FALSE(Contains(answer, "200 OK") &&
               Contains(answer, "Content-Length"));
}

INSTANTIATE_TEST_SUITE_P(
  Floods,
  TestEndlessStream,
  testing::Values(StreamHead() + "7fffffff\r\n\bx\f",
                  StreamHead() + "\b6\r\n: hi\n\n\r\n\v",
                  StreamHead() + "\b1\r\nx\r\n\v",
                  "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\bx\v",
                  "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n"
                  "\r\n\bx\v"));

// An event without end would fill the memory until the time limit.
TEST_F(TestGateway, EventWithoutEndIsCutLongBeforeTheTimeLimit)
{
  scripted_server server{ { StreamHead() + "7fffffff\r\n\bx\f" } };
  StartGateway(std::array{ &server });
  steady_clock::time_point const start = steady_clock::now();
  EXPECT_FALSE(Exchange(Request("/single/x")).ends_with(kLastChunk));
  EXPECT_LT(steady_clock::now() - start, milliseconds{ 1'000 });
}

// Guards against retries that no budget counts: a stream that is cut for an
// event without end has reached its server.
TEST_F(TestGateway, StreamThatIsCutSpendsTheRetryBudget)
{
  mRetryRatio = 0;
  mRetrySlack = 0;
  std::string const endless = StreamHead() + "7fffffff\r\n\bx\f";
  std::string const complete =
    StreamHead() + Chunk("id: 1\ndata: a\n\n") + std::string{ kLastChunk };
  std::shared_ptr<answer_script> const script = std::make_shared<answer_script>(
    std::vector<std::string>{ endless, complete, endless, complete });
  scripted_server first{ script };
  scripted_server second{ script };
  StartGateway(std::array{ &first, &second });
  EXPECT_TRUE(Exchange(Request("/stream/x")).ends_with(kLastChunk));
  EXPECT_FALSE(Exchange(Request("/stream/x")).ends_with(kLastChunk));
}

}

}

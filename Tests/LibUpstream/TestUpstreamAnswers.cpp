#include <LibUpstream/UpstreamLoop.h>

#include <Tests/LibGateway/ScriptedServer.h>
#include <gtest/gtest.h>

#include <chrono>
#include <future>
#include <string>

namespace lycheeseam {

namespace {

/// Receives the end of one attempt at a time.
struct single_sink
{
  void OnHead(upstream_head const&) {}
  void OnPiece(upstream_piece const&) {}
  void OnEnd(upstream_end aEnd) { mEnd.set_value(std::move(aEnd)); }

  std::promise<upstream_end> mEnd;
};

/// Runs attempts one after the other.
class TestUpstreamAnswers : public testing::Test
{
protected:
  upstream_end RunAttempt(scripted_server const& aServer,
                          std::string const& aMethod);

  single_sink mSink;
  upstream_loop<single_sink> mLoop{ mSink };
};

upstream_end
TestUpstreamAnswers::RunAttempt(scripted_server const& aServer,
                                std::string const& aMethod)
{
  mSink.mEnd = {};
  std::future<upstream_end> end = mSink.mEnd.get_future();
  mLoop.Post(upstream_request{
    .mCall = call_number{ 1 },
    .mAttempt = attempt_number{ 1 },
    .mServer = aServer.Address(),
    .mMethod = aMethod,
    .mTarget = "/",
    .mBody = std::make_shared<std::string const>(
      aMethod == "GET" ? std::string{} : std::string{ "{}" }) });
  return end.get();
}

std::string const kHead =
  "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX: y\r\n\r\n";

/// How many bytes of the head arrive before the server closes its connection.
class TestBrokenHeads
  : public TestUpstreamAnswers
  , public testing::WithParamInterface<std::size_t>
{};

// Guards against an empty success for an answer whose head broke off.
TEST_P(TestBrokenHeads, AreNoCompleteAnswers)
{
  std::string const broken = kHead.substr(0, GetParam()) + "\a";
  for (char const* const method : { "GET", "POST" }) {
    scripted_server server{ { broken } };
    upstream_end const end = RunAttempt(server, method);
    EXPECT_EQ(end.mFailure, transfer_failure::ConnectionLost) << method;
    EXPECT_EQ(end.mVerdict, verdict::MayHaveRun) << method;
  }
}

INSTANTIATE_TEST_SUITE_P(Prefixes,
                         TestBrokenHeads,
                         testing::Range(std::size_t{ 1 }, kHead.size()));

TEST_F(TestUpstreamAnswers, AnswerThatEndsWithItsConnectionIsComplete)
{
  scripted_server server{ { kHead + "{}\a" } };
  upstream_end const end = RunAttempt(server, "POST");
  EXPECT_EQ(end.mFailure, transfer_failure::None);
  EXPECT_EQ(end.mBody, "{}");
}

/// Answers without end, from a server that goes on until its connection closes.
class TestEndlessUpstream
  : public TestUpstreamAnswers
  , public testing::WithParamInterface<std::string>
{};

// Guards against a server whose bytes use up the memory: they end the attempt.
TEST_P(TestEndlessUpstream, EndsTheAttempt)
{
  scripted_server server{ { GetParam() } };
  std::chrono::steady_clock::time_point const start =
    std::chrono::steady_clock::now();
  upstream_end const end = RunAttempt(server, "POST");
  EXPECT_LT(std::chrono::steady_clock::now() - start,
            std::chrono::seconds{ 5 });
  EXPECT_EQ(end.mFailure, transfer_failure::ConnectionLost);
  EXPECT_EQ(end.mVerdict, verdict::MayHaveRun);
}

std::string const kStreamHead =
  "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";

INSTANTIATE_TEST_SUITE_P(
  Floods,
  TestEndlessUpstream,
  testing::Values("HTTP/1.1 200 \bx\f",
                  "HTTP/1.1 200 OK\r\nField: \bx\f",
                  "HTTP/1.1 200 OK\r\n\bA: b\r\n\f",
                  "\bHTTP/1.1 100 Continue\r\n\r\n\f",
                  kStreamHead + "\r\n\bx\f",
                  kStreamHead + "\r\n\bdata: x\n\f",
                  kStreamHead +
                    "Transfer-Encoding: chunked\r\n\r\n\b1\r\nx\r\n\f",
                  kStreamHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n"
                                "\bA: b\r\n\f"));

// Guards against a late copy of an earlier answer, or refusal, that the next
// caller gets: answers of these servers don't name their requests.
TEST_F(TestUpstreamAnswers, EachAttemptHasAConnectionOfItsOwn)
{
  std::string const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
  for (char const* const method : { "GET", "POST" }) {
    scripted_server server{ { answer, answer } };
    RunAttempt(server, method);
    RunAttempt(server, method);
    EXPECT_EQ(server.Accepted(), 2) << method;
  }
}

}

}

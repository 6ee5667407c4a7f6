#include <LibUpstream/UpstreamLoop.h>

#include <Tests/LibGateway/ScriptedServer.h>
#include <gtest/gtest.h>

#include <future>
#include <string>

namespace lycheeseam {

namespace {

/// Receives the end of one attempt.
struct single_sink
{
  void OnHead(upstream_head const&) {}
  void OnPiece(upstream_piece const&) {}
  void OnEnd(upstream_end aEnd) { mEnd.set_value(std::move(aEnd)); }

  std::promise<upstream_end> mEnd;
};

upstream_end
RunAttempt(scripted_server const& aServer, std::string const& aMethod)
{
  single_sink sink;
  upstream_loop<single_sink> loop{ sink };
  loop.Post(upstream_request{
    .mCall = call_number{ 1 },
    .mAttempt = attempt_number{ 1 },
    .mServer = aServer.Address(),
    .mMethod = aMethod,
    .mTarget = "/",
    .mBody = std::make_shared<std::string const>(
      aMethod == "GET" ? std::string{} : std::string{ "{}" }) });
  return sink.mEnd.get_future().get();
}

std::string const kHead =
  "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX: y\r\n\r\n";

/// How many bytes of the head arrive before the server closes its connection.
class TestBrokenHeads : public testing::TestWithParam<std::size_t>
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

TEST(TestUpstreamAnswers, AnswerThatEndsWithItsConnectionIsComplete)
{
  scripted_server server{ { kHead + "{}\a" } };
  upstream_end const end = RunAttempt(server, "POST");
  EXPECT_EQ(end.mFailure, transfer_failure::None);
  EXPECT_EQ(end.mBody, "{}");
}

}

}

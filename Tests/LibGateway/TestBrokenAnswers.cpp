#include "GatewayFixture.h"

#include <algorithm>
#include <array>
#include <string>
#include <vector>

namespace lycheeseam {

namespace {

std::string
WithId(std::string aText, std::string const& aId)
{
  return aText.replace(aText.find("r1"), 2, aId);
}

std::string
Refusal(std::string const& aStatus)
{
  return "HTTP/1.1 " + aStatus +
         "\r\nRequest-Id: r1\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull";
}

/// An answer whose body ends with its connection.
std::string
Unframed(std::string const& aBody)
{
  return "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n\r\n" +
         aBody + "\a";
}

/// Refusals that a server writes again when the connection is in use again.
class TestRepeatedRefusal
  : public TestGateway
  , public testing::WithParamInterface<std::string>
{
protected:
  /// Has a request refused by aServer, whose connection is kept, and answered
  /// by another one.
  void BeRefusedOnce(scripted_server& aServer, scripted_server& aOther)
  {
    StartGateway(std::array{ &aServer, &aOther });
    ASSERT_TRUE(Exchange(Request("/once/x")).ends_with("\r\n\r\nother"));
  }
};

// Guards against a caller that is told "not run" of a request that has run.
TEST_P(TestRepeatedRefusal, IsNotTakenForTheAnswerToTheNextRequest)
{
  scripted_server server{
    { Refusal(GetParam()), Refusal(GetParam()) + WithId(Answer("own"), "r2") }
  };
  scripted_server other{ { Answer("other") } };
  BeRefusedOnce(server, other);
  EXPECT_TRUE(
    Exchange(WithId(Request("/once/x"), "r2")).ends_with("\r\n\r\nown"));
  EXPECT_EQ(other.Requests().size(), 1U);
}

// The same when the server then closes instead of answering: the request may
// have run, so it is neither refused as not run nor sent to another server.
TEST_P(TestRepeatedRefusal, ProvesNothingOfTheNextRequest)
{
  scripted_server server{ { Refusal(GetParam()), Refusal(GetParam()) + "\a" } };
  scripted_server other{ { Answer("other"), Answer("twice") } };
  BeRefusedOnce(server, other);
  EXPECT_TRUE(
    Exchange(WithId(Request("/once/x"), "r2")).starts_with("HTTP/1.1 502"));
  EXPECT_EQ(other.Requests().size(), 1U);
}

// The same when the copy arrives before the next request is sent.
TEST_P(TestRepeatedRefusal, EndsTheUseOfItsConnection)
{
  scripted_server server{ { Refusal(GetParam()) + Refusal(GetParam()),
                            WithId(Answer("own"), "r2") } };
  scripted_server other{ { Answer("other") } };
  BeRefusedOnce(server, other);
  EXPECT_TRUE(
    Exchange(WithId(Request("/once/x"), "r2")).ends_with("\r\n\r\nown"));
  EXPECT_EQ(other.Requests().size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(
  Refusals,
  TestRepeatedRefusal,
  testing::Values("503 Full", "429 Slow down", "421 Misdirected", "400 No id"));

/// What a second server answers after a stream has broken off.
class TestErrorAfterStream
  : public TestGateway
  , public testing::WithParamInterface<std::string>
{};

// Guards against the text of a second server's error in the middle of a stream,
// and against a stream that then ends as if it were complete.
TEST_P(TestErrorAfterStream, NeverReachesTheCaller)
{
  std::string const broken =
    StreamHead() + Chunk("id: 1\ndata: a\n\nid: 2\nda") + "\a";
  std::shared_ptr<answer_script> const script = std::make_shared<answer_script>(
    std::vector<std::string>{ broken, GetParam(), GetParam(), GetParam() });
  scripted_server first{ script };
  scripted_server second{ script };
  scripted_server third{ script };
  StartGateway(std::array{ &first, &second, &third });
  std::string const answer = Exchange(Request("/stream/x"));
  EXPECT_TRUE(answer.ends_with(Chunk("id: 1\ndata: a\n\n"))) << answer;
  EXPECT_GE(first.Requests().size() + second.Requests().size() +
              third.Requests().size(),
            2U);
}

INSTANTIATE_TEST_SUITE_P(
  Errors,
  TestErrorAfterStream,
  testing::Values(
    "HTTP/1.1 500 Failed\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n"
    "Content-Length: 5\r\n\r\nerror",
    "HTTP/1.1 500 Failed\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n"
    "Transfer-Encoding: chunked\r\n\r\n5\r\nerror\r\n0\r\n\r\n",
    "HTTP/1.1 504 Late\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n\r\nerror\a",
    "HTTP/1.1 503 Full\r\nRequest-Id: r1\r\nNot-Run: 1\r\n"
    "Content-Length: 5\r\n\r\nerror",
    "HTTP/1.1 404 Gone\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n"
    "Content-Length: 5\r\n\r\nerror",
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 5\r\n\r\nerror",
    "error\a",
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n\a"));

std::string const kHead =
  "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nX: y\r\n\r\n";

/// How many bytes of the head arrive before the server closes its connection.
class TestBrokenHead
  : public TestGateway
  , public testing::WithParamInterface<std::size_t>
{};

// Guards against a success for an answer whose head broke off.
TEST_P(TestBrokenHead, IsNoSuccess)
{
  std::string const broken = kHead.substr(0, GetParam()) + "\a";
  scripted_server server{ { broken, broken } };
  StartGateway(std::array{ &server });
  EXPECT_TRUE(Exchange(Request("/once/x")).starts_with("HTTP/1.1 502"));
  EXPECT_TRUE(Exchange(Request("/single/x")).starts_with("HTTP/1.1 502"));
}

INSTANTIATE_TEST_SUITE_P(Prefixes,
                         TestBrokenHead,
                         testing::Range(std::size_t{ 1 }, kHead.size()));

// Checks that the caller got an event of each of two servers, and a complete
// end.
void
ExpectBothEvents(std::string const& aAnswer)
{
  EXPECT_TRUE(Contains(aAnswer, Chunk("id: 1\ndata: a\n\n"))) << aAnswer;
  EXPECT_TRUE(
    aAnswer.ends_with(Chunk("id: 2\ndata: b\n\n") + std::string{ kLastChunk }))
    << aAnswer;
}

/// A stream that its server ends as complete, with chunks or with a length.
std::string
Framed(std::string const& aBody, bool aIsChunked)
{
  return aIsChunked ? StreamHead() + Chunk(aBody) + std::string{ kLastChunk }
                    : Answer(aBody, "Content-Type: text/event-stream\r\n");
}

/// True for chunks, false for a length.
class TestFramedStreams
  : public TestGateway
  , public testing::WithParamInterface<bool>
{};

// Guards against a stream that ends within an event and is passed on as
// complete, because its server's framing is whole.
TEST_P(TestFramedStreams, ThatEndInsideAnEventAreBroken)
{
  scripted_server server{ { Framed("id: 1\ndata: a\n\nid: 2\nda",
                                   GetParam()) } };
  StartGateway(std::array{ &server });
  std::string const answer = Exchange(Request("/single/x"));
  EXPECT_TRUE(answer.ends_with(Chunk("id: 1\ndata: a\n\n"))) << answer;
}

TEST_P(TestFramedStreams, ThatEndInsideAnEventContinueOnAnotherServer)
{
  std::shared_ptr<answer_script> const script = std::make_shared<answer_script>(
    std::vector<std::string>{ Framed("id: 1\ndata: a\n\nid: 2\nda", GetParam()),
                              Framed("id: 2\ndata: b\n\n", GetParam()) });
  scripted_server first{ script };
  scripted_server second{ script };
  StartGateway(std::array{ &first, &second });
  std::string const answer = Exchange(Request("/stream/x"));
  ExpectBothEvents(answer);
  std::vector<std::string> sent = first.Requests();
  for (std::string const& request : second.Requests())
    sent.push_back(request);
  EXPECT_EQ(sent.size(), 2U);
  EXPECT_TRUE(
    std::any_of(sent.begin(), sent.end(), [](std::string const& aRequest) {
      return Contains(aRequest, "Last-Event-Id: 1\r\n");
    }));
}

// A stream whose lines end in CR LF is complete after an event as well, and its
// events are passed on as they arrive.
TEST_P(TestFramedStreams, WithLinesThatEndInCrLfAreComplete)
{
  std::string const events = "id: 1\r\ndata: a\r\n\r\n";
  scripted_server server{ { Framed(events, GetParam()) } };
  StartGateway(std::array{ &server });
  std::string const answer = Exchange(Request("/single/x"));
  EXPECT_TRUE(answer.ends_with(Chunk(events) + std::string{ kLastChunk }))
    << answer;
}

INSTANTIATE_TEST_SUITE_P(Framings, TestFramedStreams, testing::Bool());

// An answer of another type has no events within which it could break off.
TEST_F(TestGateway, AnswerOfAStreamsRouteMayBeNoStreamOfEvents)
{
  scripted_server server{ { Answer("{}",
                                   "Content-Type: application/json\r\n") } };
  StartGateway(std::array{ &server });
  EXPECT_TRUE(Exchange(Request("/single/x")).ends_with("\r\n\r\n{}"));
}

TEST_F(TestGateway, StreamThatEndsWithItsConnectionAfterAnEventIsComplete)
{
  scripted_server server{ { Unframed("id: 1\ndata: a\n\n") } };
  StartGateway(std::array{ &server });
  std::string const answer = Exchange(Request("/single/x"));
  EXPECT_TRUE(
    answer.ends_with(Chunk("id: 1\ndata: a\n\n") + std::string{ kLastChunk }));
}

// Guards against a stream that breaks off inside an event and then looks
// complete, since its server's framing doesn't tell.
TEST_F(TestGateway, StreamThatEndsWithItsConnectionInsideAnEventIsBroken)
{
  scripted_server server{ { Unframed("id: 1\ndata: a\n\nid: 2\nda") } };
  StartGateway(std::array{ &server });
  std::string const answer = Exchange(Request("/single/x"));
  EXPECT_TRUE(answer.ends_with(Chunk("id: 1\ndata: a\n\n"))) << answer;
}

TEST_F(TestGateway, StreamThatBrokeOffInsideAnEventContinuesOnAnotherServer)
{
  std::shared_ptr<answer_script> const script = std::make_shared<answer_script>(
    std::vector<std::string>{ Unframed("id: 1\ndata: a\n\nid: 2\nda"),
                              Unframed("id: 2\ndata: b\n\n") });
  scripted_server first{ script };
  scripted_server second{ script };
  StartGateway(std::array{ &first, &second });
  std::string const answer = Exchange(Request("/stream/x"));
  ExpectBothEvents(answer);
}

}

}

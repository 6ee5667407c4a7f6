#include "GatewayFixture.h"

#include <array>
#include <atomic>
#include <chrono>
#include <string>
#include <thread>

namespace lycheeseam {

namespace {

std::string
WholeStream()
{
  return StreamHead() + Chunk("id: 1\ndata: a\n\n") + std::string{ kLastChunk };
}

/// A gateway before two servers that crash under each request with the part
/// "dead": they close the connection after the head of their answer.
class TestPoisonParts : public TestGateway
{
protected:
  void SetUp() override { StartGateway(std::array{ &mFirst, &mSecond }); }

  std::string AnswerTo(std::string const& aRequest)
  {
    if (!Contains(aRequest, "dead"))
      return WholeStream();
    ++mCrashes;
    return StreamHead() + "\a";
  }

  /// A request whose prompt has these shared parts; no two are alike.
  std::string Ask(std::string const& aSharedParts)
  {
    std::string const last = "u" + std::to_string(++mAsked);
    return Exchange(Request("/single/" + last + "/",
                            "Model: m\r\nToken-Counts: 30,5\r\n"
                            "Prompt-Prefix: " +
                              aSharedParts + last + ":10\r\n"));
  }

  std::atomic<int> mCrashes{ 0 };
  int mAsked = 0;
  scripted_server mFirst{ [this](std::string const& aRequest) {
    return AnswerTo(aRequest);
  } };
  scripted_server mSecond{ [this](std::string const& aRequest) {
    return AnswerTo(aRequest);
  } };
};

// Guards against a prompt part that crashes one server after the other while
// the requests that hold it are no two alike.
TEST_F(TestPoisonParts, PartThatCrashedThreeServersReachesNoMore)
{
  for (int round = 0; round < 3; ++round) {
    Ask("a:10,dead:10,b:10,");
    EXPECT_TRUE(Ask("a:10,b:10,").ends_with(kLastChunk)) << round;
  }
  // The quarantine begins a second after the first crash.
  std::this_thread::sleep_for(std::chrono::milliseconds{ 1'050 });
  for (int round = 0; round < 5; ++round) {
    std::string const answer = Ask("a:10,dead:10,b:10,");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503"));
    EXPECT_TRUE(Contains(answer, "Retry-After: "));
    EXPECT_TRUE(Ask("a:10,b:10,").ends_with(kLastChunk)) << round;
  }
  EXPECT_EQ(mCrashes, 3);
  EXPECT_TRUE(Ask("c:10,dead:10,").starts_with("HTTP/1.1 503"));
}

}

}

#include <LibHttp/HttpClient.h>

#include <Tests/LibGateway/ScriptedServer.h>
#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace lycheeseam {

namespace {

using std::chrono::milliseconds;

std::string const kChunkedHead =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string const kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// A client of a server with a script.
class TestHttpClient : public testing::Test
{
protected:
  void Script(std::vector<std::string> aAnswers)
  {
    mServer.emplace(std::move(aAnswers));
  }

  // Starts a call; Run() ends it.
  void Start(std::string const& aMethod)
  {
    mClient.Call({ .mPurpose = "test",
                   .mTo = mServer->Address(),
                   .mHead = { .mMethod = aMethod, .mTarget = "/" },
                   .mTimeout = kTimeout },
                 [this](http_exchange_result aResult) {
                   mResults.push_back(std::move(aResult));
                 });
  }

  // Runs the calls to their ends; returns the time that they took.
  std::chrono::steady_clock::duration Run()
  {
    mResults.clear();
    std::chrono::steady_clock::time_point const start =
      std::chrono::steady_clock::now();
    mContext.restart();
    mContext.run();
    return std::chrono::steady_clock::now() - start;
  }

  static constexpr milliseconds kTimeout{ 3'000 };

  // Outlives the client, as it waits until its connections are closed.
  std::optional<scripted_server> mServer;
  boost::asio::io_context mContext;
  metrics_recorder mRecorder;
  http_client mClient{ mContext, mRecorder };
  std::vector<http_exchange_result> mResults;
};

// Guards against reads of the store that fail one after the other, each over
// another connection that went silent, though it answers on new ones.
TEST_F(TestHttpClient, ReadOverASilentConnectionIsRepeatedOverANewOne)
{
  Script({ kAnswer, "hang", kAnswer });
  Start("GET");
  Run();
  Start("GET");
  EXPECT_LT(Run(), kTimeout / 3);
  ASSERT_EQ(mResults.size(), 1U);
  EXPECT_EQ(mResults[0].mBody, "ok");
  EXPECT_EQ(mServer->Accepted(), 2);
}

// Guards against an append that is made twice.
TEST_F(TestHttpClient, AppendOverASilentConnectionIsNotRepeated)
{
  Script({ kAnswer, "hang", kAnswer });
  Start("POST");
  Run();
  Start("POST");
  Run();
  ASSERT_EQ(mResults.size(), 1U);
  EXPECT_EQ(mResults[0].mVerdict, verdict::MayHaveRun);
  EXPECT_EQ(mServer->Requests().size(), 2U);
}

TEST_F(TestHttpClient, ReadOverANewConnectionIsNotRepeated)
{
  Script({ "hang", kAnswer });
  Start("GET");
  Run();
  ASSERT_EQ(mResults.size(), 1U);
  EXPECT_FALSE(mResults[0].mFault.empty());
  EXPECT_EQ(mServer->Requests().size(), 1U);
}

// Guards against calls that fail one after the other, each over another
// connection that went silent.
TEST_F(TestHttpClient, UnansweredCallDropsTheOtherIdleConnections)
{
  Script({ kAnswer, kAnswer, "hang", kAnswer });
  Start("POST");
  Start("POST");
  Run();
  ASSERT_EQ(mServer->Accepted(), 2);
  Start("POST");
  Run();
  Start("POST");
  Run();
  ASSERT_EQ(mResults.size(), 1U);
  EXPECT_EQ(mResults[0].mBody, "ok");
  EXPECT_EQ(mServer->Accepted(), 3);
}

/// An answer without end to a control call.
class TestEndlessReply : public testing::TestWithParam<std::string>
{};

// Guards against a store or an engine whose bytes use up the memory until the
// time limit of the call.
TEST_P(TestEndlessReply, EndsTheCallLongBeforeItsTimeLimit)
{
  scripted_server server{ { GetParam() } };
  boost::asio::io_context context;
  metrics_recorder recorder;
  http_client client{ context, recorder };
  http_exchange_result result;
  client.Call(
    { .mPurpose = "test",
      .mTo = server.Address(),
      .mHead = { .mMethod = "GET", .mTarget = "/" },
      .mTimeout = std::chrono::seconds{ 10 } },
    [&result](http_exchange_result aResult) { result = std::move(aResult); });
  std::chrono::steady_clock::time_point const start =
    std::chrono::steady_clock::now();
  context.run();
  EXPECT_LT(std::chrono::steady_clock::now() - start, milliseconds{ 3'000 });
  // More than the system buffers of a connection.
  EXPECT_LT(server.FloodBytes(), std::size_t{ 33'554'432 });
  EXPECT_FALSE(result.mFault.empty());
  EXPECT_EQ(result.mVerdict, verdict::MayHaveRun);
}

INSTANTIATE_TEST_SUITE_P(Floods,
                         TestEndlessReply,
                         testing::Values("\bx\f",
                                         "HTTP/1.1 200 OK\r\nField: \bx\f",
                                         "HTTP/1.1 200 OK\r\n\bA: b\r\n\f",
                                         "HTTP/1.1 200 OK\r\n\r\n\bx\f",
                                         kChunkedHead + "\b1\r\nx\r\n\f",
                                         kChunkedHead + "\b5\f",
                                         kChunkedHead + "5;\bx\f",
                                         kChunkedHead + "1\r\nx\r\n5;\bx\f",
                                         kChunkedHead + "0\r\n\bA: b\r\n\f",
                                         kChunkedHead + "0\r\nA: \bx\f"));

}

}

#include <LibHttp/HttpClient.h>

#include <Tests/LibGateway/ScriptedServer.h>
#include <gtest/gtest.h>

#include <chrono>
#include <string>

namespace lycheeseam {

namespace {

using std::chrono::milliseconds;

std::string const kChunkedHead =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

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

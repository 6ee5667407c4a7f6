#include "GatewayFixture.h"

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

namespace lycheeseam {

namespace {

using std::chrono::seconds;
using std::chrono::steady_clock;

std::string const kChunkedHead =
  "POST /once/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
  "Transfer-Encoding: chunked\r\n\r\n";

/// Bytes that are sent once, and those that are repeated after them.
struct flood
{
  std::string mStart;
  std::string mRepeated;
};

/// Requests without end, from a caller without a key.
class TestEndlessRequests
  : public TestGateway
  , public testing::WithParamInterface<flood>
{
protected:
  // Sends the flood and returns what is answered until the connection closes.
  std::string Flood(endpoint const& aAddress)
  {
    boost::asio::io_context context;
    tcp::socket socket{ context };
    socket.connect(
      { boost::asio::ip::make_address(aAddress.mAddress), aAddress.mPort });
    std::thread writer{ [&socket]() { Write(socket); } };
    std::string answer;
    boost::system::error_code fault;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), fault);
    writer.join();
    return answer;
  }

  static void Write(tcp::socket& aSocket)
  {
    // Keeps a test that fails from using up the memory of its machine.
    constexpr std::size_t kMaxBytes = 67'108'864;
    std::string block;
    while (block.size() < 16'384)
      block += GetParam().mRepeated;
    boost::system::error_code fault;
    boost::asio::write(aSocket, boost::asio::buffer(GetParam().mStart), fault);
    for (std::size_t sent = 0; !fault && sent < kMaxBytes;)
      sent += boost::asio::write(aSocket, boost::asio::buffer(block), fault);
  }

  // Well below the timeout of a request that just isn't complete.
  static constexpr seconds kPatience{ 5 };
};

// Guards against a caller that uses up the memory with bytes that the HTTP
// parser doesn't limit.
TEST_P(TestEndlessRequests, AreRefusedAtOnce)
{
  scripted_server server{ std::vector<std::string>{} };
  StartGateway(std::array{ &server });
  steady_clock::time_point const start = steady_clock::now();
  std::string const answer = Flood(mCallers);
  EXPECT_LT(steady_clock::now() - start, kPatience);
  // The refusal is lost when the system resets the connection.
  EXPECT_TRUE(answer.empty() || answer.starts_with("HTTP/1.1 4")) << answer;
}

TEST_P(TestEndlessRequests, EndQueriesAtOnce)
{
  scripted_server server{ std::vector<std::string>{} };
  StartGateway(std::array{ &server });
  steady_clock::time_point const start = steady_clock::now();
  EXPECT_EQ(Flood(mAddresses), "");
  EXPECT_LT(steady_clock::now() - start, kPatience);
}

INSTANTIATE_TEST_SUITE_P(
  Floods,
  TestEndlessRequests,
  testing::Values(flood{ "", "x" },
                  flood{ "POST / HTTP/1.1\r\nField: ", "x" },
                  flood{ "POST / HTTP/1.1\r\n", "A: b\r\n" },
                  flood{ kChunkedHead, "5" },
                  flood{ kChunkedHead + "5;", "x" },
                  flood{ kChunkedHead + "1\r\nx\r\n5;", "x" },
                  flood{ kChunkedHead + "0;", "x" },
                  flood{ kChunkedHead + "0\r\n", "A: b\r\n" },
                  flood{ kChunkedHead + "0\r\nA: ", "x" }));

}

}

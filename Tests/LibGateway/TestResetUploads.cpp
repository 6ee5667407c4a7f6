#include "GatewayFixture.h"
#include "ResettingServer.h"

#include <array>
#include <string>

namespace lycheeseam {

namespace {

std::string
Upload(std::string const& aPath, std::size_t aBytes)
{
  return "POST " + aPath +
         " HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nDeadline-Ms: 1500\r\n"
         "Authorization: Bearer secret\r\nContent-Length: " +
         std::to_string(aBytes) + "\r\nConnection: close\r\n\r\n" +
         std::string(aBytes, 'x');
}

/// A server answers an upload before it has read it, and resets the connection.
class TestResetUploads : public TestGateway
{
protected:
  // How many callers got a success.
  int CountSuccesses(std::string const& aPath, std::size_t aBytes)
  {
    int successes = 0;
    for (int sent = 0; sent < kUploads; ++sent)
      successes += Exchange(Upload(aPath, aBytes)).starts_with("HTTP/1.1 200");
    return successes;
  }

  static constexpr int kUploads = 60;

  resetting_server mServer{ "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
                            "Server-Stamp: s\r\n\r\nten bytes." };
};

// Guards against a part of an answer that a caller gets as the whole one: the
// failed write takes the fault of the connection, and the next read only sees
// an end.
TEST_F(TestResetUploads, AnswerWithoutLengthIsNotPassedOnAsComplete)
{
  StartGatewayAt(std::array{ mServer.Address() });
  for (std::size_t const bytes : { 20'000U, 900'000U })
    EXPECT_EQ(CountSuccesses("/once/x", bytes), 0) << bytes;
}

}

}

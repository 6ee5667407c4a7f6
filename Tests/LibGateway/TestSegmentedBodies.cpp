#include "GatewayFixture.h"

#include <array>
#include <string>
#include <vector>

namespace lycheeseam {

namespace {

/// The segments in which the end of a chunked body arrives.
using segments = std::vector<std::string>;

std::string
ChunkedAnswer(segments const& aEnd)
{
  std::string answer = StreamHead();
  for (std::string const& segment : aEnd)
    answer += '\x1e' + segment;
  return answer;
}

std::string
ChunkedRequest()
{
  return "POST /once/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
         "Deadline-Ms: 1500\r\nAuthorization: Bearer secret\r\n"
         "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
}

class TestSegmentedBodies
  : public TestGateway
  , public testing::WithParamInterface<segments>
{};

// Guards against an answer that ends the process when the network cuts the end
// of its body at certain places: an assertion of the HTTP parser failed.
TEST_P(TestSegmentedBodies, OfAnswersAreRead)
{
  scripted_server server{ { ChunkedAnswer(GetParam()) } };
  StartGateway(std::array{ &server });
  EXPECT_TRUE(Exchange(Request("/once/x")).starts_with("HTTP/1.1 200 OK\r\n"));
}

// The same for an answer that its server breaks off there.
TEST_P(TestSegmentedBodies, OfAnswersThatBreakOffAreNoSuccess)
{
  segments broken = GetParam();
  broken.pop_back();
  scripted_server server{ { ChunkedAnswer(broken) + "\a" } };
  StartGateway(std::array{ &server });
  EXPECT_TRUE(Exchange(Request("/once/x")).starts_with("HTTP/1.1 502"));
}

// The same for a caller, whose request is read before its key is checked.
TEST_P(TestSegmentedBodies, OfRequestsAreRead)
{
  scripted_server server{ { Answer("whole") } };
  StartGateway(std::array{ &server });
  segments request = GetParam();
  request.insert(request.begin(), ChunkedRequest());
  EXPECT_TRUE(ExchangeInSegments(request).ends_with("\r\n\r\nwhole"));
}

INSTANTIATE_TEST_SUITE_P(
  Ends,
  TestSegmentedBodies,
  testing::Values(segments{ "0\r\n", "\r", "\n" },
                  segments{ "0\r\n", "\r\n" },
                  segments{ "0\r", "\n\r", "\n" },
                  segments{ "0", "\r\n", "\r\n" },
                  segments{ "5\r\nhello\r\n0\r\n", "\r", "\n" },
                  segments{ "5\r\nhello", "\r\n0\r\n", "\r", "\n" },
                  segments{ "0;a=b\r\n", "\r", "\n" },
                  segments{ "0\r\n", "A: b\r\n", "\r", "\n" },
                  segments{ "00\r\n", "\r", "\n" }));

}

}

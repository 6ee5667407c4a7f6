#include <boost/asio/buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <gtest/gtest.h>

#include <array>
#include <span>
#include <string>
#include <string_view>

namespace lycheeseam {

namespace {

namespace http = boost::beast::http;

// Puts the segments into the parser as reads of a connection do: bytes that it
// doesn't take yet come again with the next segment. True when the message is
// complete.
template<typename Parser>
bool
ParseSegments(Parser& aParser, std::span<std::string_view const> aParts)
{
  std::string unread;
  for (std::string_view const part : aParts) {
    unread += part;
    while (!unread.empty() && !aParser.is_done()) {
      boost::system::error_code fault;
      std::size_t const taken = aParser.put(boost::asio::buffer(unread), fault);
      unread.erase(0, taken);
      if (fault == http::error::need_more)
        break;
      if (fault && fault != http::error::need_buffer)
        return false;
    }
  }
  return aParser.is_done();
}

bool
IsRequestRead(std::span<std::string_view const> aParts)
{
  http::request_parser<http::string_body> parser;
  parser.eager(true);
  return ParseSegments(parser, aParts);
}

bool
IsAnswerRead(std::span<std::string_view const> aParts)
{
  std::array<char, 256> piece{};
  http::response_parser<http::buffer_body> parser;
  parser.eager(true);
  parser.get().body().data = piece.data();
  parser.get().body().size = piece.size();
  return ParseSegments(parser, aParts);
}

/// A message, and its first line as a request and as an answer.
class TestSegmentedMessages : public testing::TestWithParam<char const*>
{
protected:
  // Calls aCheck with the three segments of each pair of cuts.
  template<typename Check>
  void ForEachPairOfCuts(std::string const& aFirstLine, Check aCheck)
  {
    std::string const text = aFirstLine + GetParam();
    std::string_view const message = text;
    for (std::size_t first = 0; first <= message.size(); ++first) {
      for (std::size_t second = first; second <= message.size(); ++second)
        ASSERT_TRUE(aCheck(std::array{ message.substr(0, first),
                                       message.substr(first, second - first),
                                       message.substr(second) }))
          << "cut at " << first << " and " << second;
    }
  }
};

// Guards against assertions of the parser that fail on valid messages,
// depending on where the network cuts them.
TEST_P(TestSegmentedMessages, AreReadAsRequests)
{
  ForEachPairOfCuts("POST / HTTP/1.1\r\n", IsRequestRead);
}

TEST_P(TestSegmentedMessages, AreReadAsAnswers)
{
  ForEachPairOfCuts("HTTP/1.1 200 OK\r\n", IsAnswerRead);
}

INSTANTIATE_TEST_SUITE_P(
  Bodies,
  TestSegmentedMessages,
  testing::Values("Content-Length: 0\r\n\r\n",
                  "Content-Length: 5\r\n\r\nhello",
                  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                  "Transfer-Encoding: chunked\r\n\r\n000;a=b\r\n\r\n",
                  "Transfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\n\r\n",
                  "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
                  "Transfer-Encoding: chunked\r\n\r\n1;a=\"b\"\r\nh\r\n"
                  "4\r\nello\r\n0\r\nA: b\r\nC: d\r\n\r\n"));

}

}

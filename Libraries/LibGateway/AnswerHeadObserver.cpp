#include <LibGateway/AnswerHeadObserver.h>
#include <LibHttp/HttpStatus.h>
#include <LibHttp/TakeHead.h>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>

namespace lycheeseam {

std::optional<answer_head>
answer_head_observer::Add(std::string_view aBytes)
{
  if (mIsDone)
    return std::nullopt;
  mBytes.append(
    aBytes.substr(0, kMaxHeadBytes - std::min(kMaxHeadBytes, mBytes.size())));
  for (;;) {
    std::size_t const end = mBytes.find("\r\n\r\n");
    if (end == std::string::npos) {
      mIsDone = mBytes.size() >= kMaxHeadBytes;
      return std::nullopt;
    }
    constexpr std::size_t kEmptyLineBytes = 4;
    std::string const head = mBytes.substr(0, end + kEmptyLineBytes);
    mBytes.erase(0, head.size());
    boost::beast::http::response_parser<boost::beast::http::empty_body> parser;
    boost::system::error_code fault;
    parser.put(boost::asio::buffer(head), fault);
    mIsDone = !parser.is_header_done();
    if (mIsDone)
      return std::nullopt;
    if (parser.get().result_int() < kHttpOk)
      continue;
    mIsDone = true;
    return TakeAnswerHead(parser);
  }
}

}

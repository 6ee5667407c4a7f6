#pragma once

#include <LibGateway/LocalAnswer.h>
#include <LibHttp/FormatHead.h>
#include <LibHttp/InputLimits.h>
#include <LibHttp/TakeHead.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace lycheeseam {

/// A connection on which the instance answers queries about itself. Handler has
/// Answer(request_head) and outlives the session.
template<typename Handler>
class query_session
  : public std::enable_shared_from_this<query_session<Handler>>
{
public:
  using tcp = boost::asio::ip::tcp;

  query_session(boost::asio::io_context& aContext,
                Handler& aHandler,
                tcp::socket aSocket)
    : mHandler(aHandler)
    , mSocket(std::move(aSocket))
    , mTimer(aContext)
  {
  }

  void ReadRequest()
  {
    mTimer.expires_after(kIdleTimeout);
    mTimer.async_wait(
      [self = this->shared_from_this()](boost::system::error_code aFault) {
        if (!aFault)
          self->Close();
      });
    mParser.emplace();
    boost::beast::http::async_read(
      mSocket,
      mBuffer,
      *mParser,
      [self = this->shared_from_this()](boost::system::error_code aFault,
                                        std::size_t) {
        if (aFault)
          return self->Close();
        self->OnRequest();
      });
  }

private:
  // Covers the wait for a query, its reading and the writing of its answer.
  static constexpr std::chrono::seconds kIdleTimeout{ 15 };

  void OnRequest()
  {
    local_answer answer = mHandler.Answer(TakeRequestHead(*mParser));
    answer.mHead.mFields.push_back(
      { "Content-Length", std::to_string(answer.mBody.size()) });
    mBytes = FormatAnswerHead(answer.mHead) + answer.mBody;
    boost::asio::async_write(mSocket,
                             boost::asio::buffer(mBytes),
                             [self = this->shared_from_this()](
                               boost::system::error_code aFault, std::size_t) {
                               if (aFault || !self->mParser->get().keep_alive())
                                 return self->Close();
                               self->ReadRequest();
                             });
  }

  void Close()
  {
    mTimer.cancel();
    boost::system::error_code ignored;
    mSocket.close(ignored);
  }

  Handler& mHandler;
  tcp::socket mSocket;
  boost::asio::steady_timer mTimer;
  boost::beast::flat_buffer mBuffer{ kMaxInputBytes };
  std::optional<
    boost::beast::http::request_parser<boost::beast::http::empty_body>>
    mParser;
  std::string mBytes;
};

}

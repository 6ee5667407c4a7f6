#pragma once

#include <StandIns/Http/HttpExchange.h>
#include <StandIns/Http/HttpHandler.h>
#include <boost/asio/socket_base.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <memory>
#include <optional>
#include <utility>

namespace lycheeseam::standin {

/// A caller's connection: reads a request, passes it to the handler and reads
/// the next one after the answer.
template<http_handler Handler>
class http_connection
  : public std::enable_shared_from_this<http_connection<Handler>>
{
public:
  http_connection(boost::asio::ip::tcp::socket aSocket, Handler& aHandler)
    : mSocket(
        std::make_shared<boost::asio::ip::tcp::socket>(std::move(aSocket)))
    , mHandler(aHandler)
  {
  }

  /// Reads the next request.
  void Read()
  {
    mParser.emplace();
    mParser->body_limit(kMaxStandInBodyBytes);
    auto const onRead = [self = this->shared_from_this()](
                          boost::system::error_code aError, std::size_t) {
      if (!aError)
        self->Dispatch();
    };
    boost::beast::http::async_read(*mSocket, mBuffer, *mParser, onRead);
  }

  /// Resets the connection, as the kernel does when a process ends with unread
  /// input.
  void Abort()
  {
    boost::system::error_code ignored;
    mSocket->set_option(boost::asio::socket_base::linger{ true, 0 }, ignored);
    mSocket->close(ignored);
  }

private:
  void Dispatch()
  {
    auto const readNext = [self = this->shared_from_this()]() { self->Read(); };
    std::shared_ptr<http_exchange> const exchange =
      std::make_shared<http_exchange>(mSocket, mParser->release(), readNext);
    if (exchange->Request().method() == boost::beast::http::verb::post)
      ++mPosts;
    exchange->WatchCaller();
    mHandler.Handle(exchange, mPosts);
  }

  std::shared_ptr<boost::asio::ip::tcp::socket> mSocket;
  Handler& mHandler;
  boost::beast::flat_buffer mBuffer;
  std::optional<
    boost::beast::http::request_parser<boost::beast::http::string_body>>
    mParser;
  std::size_t mPosts = 0;
};

}

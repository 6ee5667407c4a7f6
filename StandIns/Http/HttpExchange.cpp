#include <StandIns/Http/HttpExchange.h>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>

#include <sstream>
#include <utility>

namespace lycheeseam::standin {

namespace {

constexpr unsigned kHttp11 = 11;

template<typename Message>
std::string
WireForm(Message const& aMessage)
{
  std::ostringstream text;
  text << aMessage;
  return std::move(text).str();
}

}

http_exchange::http_exchange(socket_pointer aSocket,
                             http_request aRequest,
                             callback aOnAnswered)
  : mSocket(std::move(aSocket))
  , mRequest(std::move(aRequest))
  , mOnAnswered(std::move(aOnAnswered))
{
}

void
http_exchange::AddHeader(std::string_view aName, std::string_view aValue)
{
  mHeaders.set(std::string{ aName }, std::string{ aValue });
}

void
http_exchange::Respond(boost::beast::http::status aStatus,
                       std::string_view aBody,
                       std::string_view aContentType)
{
  boost::beast::http::response<boost::beast::http::string_body> response{
    aStatus, kHttp11
  };
  for (auto const& header : mHeaders)
    response.set(header.name_string(), header.value());
  response.set(boost::beast::http::field::content_type,
               std::string{ aContentType });
  response.keep_alive(mRequest.keep_alive());
  response.body() = aBody;
  response.prepare_payload();
  mWaiting += WireForm(response);
  mEnded = true;
  WriteMore();
}

void
http_exchange::BeginStream(std::string_view aContentType)
{
  boost::beast::http::response<boost::beast::http::empty_body> response{
    boost::beast::http::status::ok, kHttp11
  };
  for (auto const& header : mHeaders)
    response.set(header.name_string(), header.value());
  response.set(boost::beast::http::field::content_type,
               std::string{ aContentType });
  response.keep_alive(mRequest.keep_alive());
  response.chunked(true);
  mWaiting += WireForm(response.base());
}

void
http_exchange::Write(std::string_view aText)
{
  if (mFinished || aText.empty())
    return;
  mWaiting += boost::beast::buffers_to_string(boost::beast::http::make_chunk(
    boost::asio::const_buffer{ aText.data(), aText.size() }));
  WriteMore();
}

void
http_exchange::EndStream()
{
  mWaiting +=
    boost::beast::buffers_to_string(boost::beast::http::make_chunk_last());
  mEnded = true;
  WriteMore();
}

void
http_exchange::Close()
{
  Lose();
}

void
http_exchange::OnCallerDisconnected(callback aCallback)
{
  mOnCallerDisconnected = std::move(aCallback);
}

void
http_exchange::WatchCaller()
{
  auto const onReadable =
    [self = shared_from_this()](boost::system::error_code aError) {
      if (self->mFinished)
        return;
      // Readable with nothing to read is the end of the caller's stream; bytes
      // of a next request stay where they are.
      boost::system::error_code ignored;
      if (aError || self->mSocket->available(ignored) == 0)
        self->Lose();
    };
  mSocket->async_wait(boost::asio::ip::tcp::socket::wait_read, onReadable);
}

void
http_exchange::WriteMore()
{
  if (mFinished || !mWriting.empty() || mWaiting.empty())
    return;
  mWriting.swap(mWaiting);
  auto const onWritten =
    [self = shared_from_this()](boost::system::error_code aError, std::size_t) {
      self->mWriting.clear();
      if (aError)
        self->Lose();
      else if (!self->mWaiting.empty())
        self->WriteMore();
      else if (self->mEnded)
        self->Finish();
    };
  boost::asio::async_write(*mSocket, boost::asio::buffer(mWriting), onWritten);
}

void
http_exchange::Finish()
{
  if (std::exchange(mFinished, true))
    return;
  mOnCallerDisconnected = nullptr;
  if (mRequest.keep_alive())
    std::exchange(mOnAnswered, nullptr)();
  else
    mSocket->close();
}

void
http_exchange::Lose()
{
  if (std::exchange(mFinished, true))
    return;
  mOnAnswered = nullptr;
  boost::system::error_code ignored;
  mSocket->close(ignored);
  if (mOnCallerDisconnected)
    std::exchange(mOnCallerDisconnected, nullptr)();
}

}

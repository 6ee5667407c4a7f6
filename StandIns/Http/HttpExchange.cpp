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
Serialize(Message const& aMessage)
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
  mUnsent += Serialize(response);
  mIsComplete = true;
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
  mUnsent += Serialize(response.base());
}

void
http_exchange::Write(std::string_view aText)
{
  if (mFinished || aText.empty())
    return;
  mUnsent += boost::beast::buffers_to_string(boost::beast::http::make_chunk(
    boost::asio::const_buffer{ aText.data(), aText.size() }));
  WriteMore();
}

void
http_exchange::EndStream()
{
  mUnsent +=
    boost::beast::buffers_to_string(boost::beast::http::make_chunk_last());
  mIsComplete = true;
  WriteMore();
}

void
http_exchange::Close()
{
  Abandon();
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
      // A readable socket without bytes means that the caller closed the
      // connection. The bytes of a next request are left unread here.
      boost::system::error_code ignored;
      if (aError || self->mSocket->available(ignored) == 0)
        self->Abandon();
    };
  mSocket->async_wait(boost::asio::ip::tcp::socket::wait_read, onReadable);
}

void
http_exchange::WriteMore()
{
  if (mFinished || !mWriting.empty() || mUnsent.empty())
    return;
  mWriting.swap(mUnsent);
  auto const onWritten =
    [self = shared_from_this()](boost::system::error_code aError, std::size_t) {
      self->mWriting.clear();
      if (aError)
        self->Abandon();
      else if (!self->mUnsent.empty())
        self->WriteMore();
      else if (self->mIsComplete)
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
http_exchange::Abandon()
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

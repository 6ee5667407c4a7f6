#pragma once

#include <StandIns/Http/HttpRequest.h>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace lycheeseam::standin {

/// One request and its answer. Only the stand-in's single thread uses it.
class http_exchange : public std::enable_shared_from_this<http_exchange>
{
public:
  using socket_pointer = std::shared_ptr<boost::asio::ip::tcp::socket>;
  using callback = std::function<void()>;

  /// Takes a request read from a socket; aOnAnswered runs once when the
  /// complete answer has been written, if the connection is kept alive.
  http_exchange(socket_pointer aSocket,
                http_request aRequest,
                callback aOnAnswered);

  [[nodiscard]] http_request const& Request() const { return mRequest; }

  /// Adds a header to the answer; call before Respond or BeginStream.
  void AddHeader(std::string_view aName, std::string_view aValue);

  /// Sends a complete answer.
  void Respond(boost::beast::http::status aStatus,
               std::string_view aBody,
               std::string_view aContentType = "application/json");

  /// Starts a chunked answer.
  void BeginStream(std::string_view aContentType);

  /// Adds a chunk; chunks that can't be sent yet are written together later.
  void Write(std::string_view aText);

  /// Ends a chunked answer.
  void EndStream();

  /// Closes the connection without an answer or without the rest of it.
  void Close();

  /// Sets a callback that runs once if the caller disconnects before the answer
  /// is complete.
  void OnCallerDisconnected(callback aCallback);

  /// Starts to watch for the caller's disconnecting; the connection calls it
  /// once.
  void WatchCaller();

  /// True until the answer is complete or the connection is closed.
  [[nodiscard]] bool IsOpen() const { return !mFinished; }

private:
  void WriteMore();
  void Finish();
  void Abandon();

  socket_pointer mSocket;
  http_request mRequest;
  boost::beast::http::fields mHeaders;
  callback mOnAnswered;
  callback mOnCallerDisconnected;
  std::string mUnsent;
  std::string mWriting;
  bool mIsComplete = false;
  bool mFinished = false;
};

}

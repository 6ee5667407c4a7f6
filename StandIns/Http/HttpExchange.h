#pragma once

#include <StandIns/Http/HttpRequest.h>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace lycheeseam::standin {

/// One request and its answer. Lives on the stand-in's only thread.
class http_exchange : public std::enable_shared_from_this<http_exchange>
{
public:
  using socket_pointer = std::shared_ptr<boost::asio::ip::tcp::socket>;
  using callback = std::function<void()>;

  /// Takes a request read from a socket; aOnAnswered runs once when the whole
  /// answer has been written on a connection that may carry the next one.
  http_exchange(socket_pointer aSocket,
                http_request aRequest,
                callback aOnAnswered);

  [[nodiscard]] http_request const& Request() const { return mRequest; }

  /// Adds a header to the answer; call before Respond or BeginStream.
  void AddHeader(std::string_view aName, std::string_view aValue);

  /// Answers whole.
  void Respond(boost::beast::http::status aStatus,
               std::string_view aBody,
               std::string_view aContentType = "application/json");

  /// Starts an answer of chunks.
  void BeginStream(std::string_view aContentType);

  /// Adds a chunk; writes that wait go out together.
  void Write(std::string_view aText);

  /// Ends an answer of chunks.
  void EndStream();

  /// Closes the connection without (the rest of) an answer.
  void Close();

  /// Runs once if the caller goes before the answer is complete.
  void OnCallerDisconnected(callback aCallback);

  /// Watches for the caller's going; called by the connection once.
  void WatchCaller();

  /// True until the answer is complete or the connection is gone.
  [[nodiscard]] bool IsOpen() const { return !mFinished; }

private:
  void WriteMore();
  void Finish();
  void Lose();

  socket_pointer mSocket;
  http_request mRequest;
  boost::beast::http::fields mHeaders;
  callback mOnAnswered;
  callback mOnCallerDisconnected;
  std::string mWaiting;
  std::string mWriting;
  bool mEnded = false;
  bool mFinished = false;
};

}

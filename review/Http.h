#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// \file A small blocking HTTP/1.1 client and server side, for the stand-ins.

namespace review {

using steady = std::chrono::steady_clock;

/// A TCP socket that is closed with its owner.
class socket_handle
{
public:
  explicit socket_handle(int aDescriptor = -1)
    : mDescriptor(aDescriptor)
  {
  }
  socket_handle(socket_handle&& aOther) noexcept
    : mDescriptor(std::exchange(aOther.mDescriptor, -1))
  {
  }
  socket_handle& operator=(socket_handle&& aOther) noexcept
  {
    Close();
    mDescriptor = std::exchange(aOther.mDescriptor, -1);
    return *this;
  }
  ~socket_handle() { Close(); }

  [[nodiscard]] int Get() const { return mDescriptor; }
  void Close()
  {
    if (mDescriptor >= 0)
      ::close(std::exchange(mDescriptor, -1));
  }
  /// Closes with a reset.
  void Reset()
  {
    linger const option{ 1, 0 };
    ::setsockopt(mDescriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    Close();
  }

private:
  int mDescriptor;
};

inline sockaddr_in
Loopback(std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// Listens at a free port of the loopback address.
inline std::pair<socket_handle, std::uint16_t>
Listen()
{
  socket_handle listener{ ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0) };
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof(address);
  if (::bind(listener.Get(),
             reinterpret_cast<sockaddr*>(&address),
             sizeof(address)) != 0 ||
      ::listen(listener.Get(), 1024) != 0 ||
      ::getsockname(
        listener.Get(), reinterpret_cast<sockaddr*>(&address), &size) != 0)
    throw std::runtime_error("can't listen at a loopback port");
  return { std::move(listener), ntohs(address.sin_port) };
}

inline void
SetNoDelay(int aSocket)
{
  int const on = 1;
  ::setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

/// Connects to a port of the loopback address; an invalid handle on failure.
inline socket_handle
Connect(std::uint16_t aPort)
{
  socket_handle socket{ ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0) };
  sockaddr_in const address = Loopback(aPort);
  if (::connect(socket.Get(),
                reinterpret_cast<sockaddr const*>(&address),
                sizeof(address)) != 0)
    return socket_handle{};
  SetNoDelay(socket.Get());
  return socket;
}

/// Sends all bytes; false when the peer has closed.
inline bool
SendAll(int aSocket, std::string_view aBytes)
{
  while (!aBytes.empty()) {
    ssize_t const sent =
      ::send(aSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (sent <= 0)
      return false;
    aBytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

using field_list = std::vector<std::pair<std::string, std::string>>;

inline std::string
Lower(std::string aText)
{
  std::transform(
    aText.begin(), aText.end(), aText.begin(), [](unsigned char aCharacter) {
      return static_cast<char>(std::tolower(aCharacter));
    });
  return aText;
}

/// A request or an answer; how its end was seen.
struct http_message
{
  std::string mStartLine;
  field_list mFields;
  std::string mBody;
  /// True when the body is as long as its framing says.
  bool mIsComplete = false;

  [[nodiscard]] std::string Field(std::string_view aName) const
  {
    for (auto const& [name, value] : mFields) {
      if (Lower(name) == Lower(std::string{ aName }))
        return value;
    }
    return {};
  }
  [[nodiscard]] int Status() const
  {
    return mStartLine.size() > 12 ? std::atoi(mStartLine.c_str() + 9) : 0;
  }
  [[nodiscard]] std::string Method() const
  {
    return mStartLine.substr(0, mStartLine.find(' '));
  }
  [[nodiscard]] std::string Target() const
  {
    std::size_t const first = mStartLine.find(' ') + 1;
    return mStartLine.substr(first, mStartLine.find(' ', first) - first);
  }
  /// A parameter of the query, not decoded.
  [[nodiscard]] std::string Query(std::string const& aName) const
  {
    std::string const target = "&" + Target().substr(Target().find('?') + 1);
    std::size_t const at = target.find("&" + aName + "=");
    if (at == std::string::npos)
      return {};
    std::size_t const first = at + aName.size() + 2;
    return target.substr(first, target.find('&', first) - first);
  }
};

/// Reads messages from a socket.
class http_reader
{
public:
  explicit http_reader(int aSocket)
    : mSocket(aSocket)
  {
  }

  /// Reads one message; nothing when the peer closes or the time is over before
  /// the head is complete.
  std::optional<http_message> Read(bool aIsAnswer, steady::time_point aUntil)
  {
    http_message message;
    std::size_t end = 0;
    while ((end = mBuffer.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(aUntil))
        return std::nullopt;
    }
    ParseHead(mBuffer.substr(0, end + 2), message);
    mBuffer.erase(0, end + 4);
    message.mIsComplete = ReadBody(message, aIsAnswer, aUntil);
    return message;
  }

  /// True when the last read ended because the peer closed or reset.
  [[nodiscard]] bool HasEnded() const { return mHasEnded; }

private:
  static void ParseHead(std::string const& aHead, http_message& aMessage)
  {
    std::size_t at = aHead.find("\r\n");
    aMessage.mStartLine = aHead.substr(0, at);
    at += 2;
    while (at < aHead.size()) {
      std::size_t const end = aHead.find("\r\n", at);
      std::string const line = aHead.substr(at, end - at);
      std::size_t const colon = line.find(':');
      std::size_t const first = line.find_first_not_of(' ', colon + 1);
      aMessage.mFields.emplace_back(
        line.substr(0, colon),
        first == std::string::npos ? std::string{} : line.substr(first));
      at = end + 2;
    }
  }

  bool ReadBody(http_message& aMessage,
                bool aIsAnswer,
                steady::time_point aUntil)
  {
    if (Lower(aMessage.Field("Transfer-Encoding")) == "chunked")
      return ReadChunks(aMessage, aUntil);
    std::string const length = aMessage.Field("Content-Length");
    if (!length.empty())
      return TakeBytes(std::stoull(length), aMessage.mBody, aUntil);
    if (!aIsAnswer)
      return true;
    while (Fill(aUntil)) {
    }
    aMessage.mBody = std::exchange(mBuffer, {});
    return mHasEnded;
  }

  bool ReadChunks(http_message& aMessage, steady::time_point aUntil)
  {
    for (;;) {
      std::size_t end = 0;
      while ((end = mBuffer.find("\r\n")) == std::string::npos) {
        if (!Fill(aUntil))
          return false;
      }
      std::size_t const size = std::stoull(mBuffer.substr(0, end), nullptr, 16);
      mBuffer.erase(0, end + 2);
      std::string ignored;
      if (!TakeBytes(size, aMessage.mBody, aUntil) ||
          !TakeBytes(2, ignored, aUntil))
        return false;
      if (size == 0)
        return true;
    }
  }

  bool TakeBytes(std::size_t aSize, std::string& aTo, steady::time_point aUntil)
  {
    while (mBuffer.size() < aSize) {
      if (!Fill(aUntil)) {
        aTo += std::exchange(mBuffer, {});
        return false;
      }
    }
    aTo += mBuffer.substr(0, aSize);
    mBuffer.erase(0, aSize);
    return true;
  }

  bool Fill(steady::time_point aUntil)
  {
    auto const left = std::chrono::duration_cast<std::chrono::milliseconds>(
      aUntil - steady::now());
    pollfd input{ .fd = mSocket, .events = POLLIN, .revents = 0 };
    if (left.count() <= 0 ||
        ::poll(&input, 1, static_cast<int>(left.count())) != 1)
      return false;
    char bytes[16'384];
    ssize_t const size = ::recv(mSocket, bytes, sizeof(bytes), 0);
    if (size <= 0) {
      mHasEnded = true;
      return false;
    }
    mBuffer.append(bytes, static_cast<std::size_t>(size));
    return true;
  }

  int mSocket;
  std::string mBuffer;
  bool mHasEnded = false;
};

inline std::string
FormatMessage(std::string const& aStartLine,
              field_list const& aFields,
              std::string const& aBody)
{
  std::string text = aStartLine + "\r\n";
  for (auto const& [name, value] : aFields)
    text += name + ": " + value + "\r\n";
  text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
  return text + aBody;
}

}

#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdint>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

/// \file Blocking TCP sockets on loopback addresses, for the stand-ins of the
/// review.

namespace review {

using milliseconds = std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

/// Thrown when a case can't run on this machine.
struct setup_error : std::runtime_error
{
  using std::runtime_error::runtime_error;
};

struct address
{
  std::string mHost = "127.0.0.1";
  std::uint16_t mPort = 0;

  [[nodiscard]] std::string Text() const
  {
    return mHost + ":" + std::to_string(mPort);
  }
};

inline sockaddr_in
Native(address const& aAddress)
{
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_port = htons(aAddress.mPort);
  if (inet_pton(AF_INET, aAddress.mHost.c_str(), &native.sin_addr) != 1)
    throw setup_error("not an IP address: " + aAddress.mHost);
  return native;
}

/// A connected socket; closed when it is destroyed.
class connection
{
public:
  explicit connection(int aSocket)
    : mSocket(aSocket)
  {
    int const on = 1;
    setsockopt(mSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  connection(connection const&) = delete;
  connection& operator=(connection const&) = delete;
  ~connection() { Close(); }

  /// Connects; null when nothing listens there.
  static std::unique_ptr<connection> Open(address const& aTo)
  {
    int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in const native = Native(aTo);
    if (::connect(socket,
                  reinterpret_cast<sockaddr const*>(&native),
                  sizeof(native)) != 0) {
      ::close(socket);
      return nullptr;
    }
    return std::make_unique<connection>(socket);
  }

  /// False when the peer has closed or reset the connection.
  bool Send(std::string_view aBytes)
  {
    while (!aBytes.empty()) {
      ssize_t const sent =
        ::send(mSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
      if (sent <= 0)
        return false;
      aBytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }

  /// Appends what arrives to aTo; false at the end, on a fault, and when
  /// nothing arrives in time.
  bool Receive(std::string& aTo, milliseconds aTimeout)
  {
    pollfd wait{ .fd = mSocket, .events = POLLIN, .revents = 0 };
    if (::poll(&wait, 1, static_cast<int>(aTimeout.count())) <= 0)
      return false;
    char piece[16384];
    ssize_t const size = ::recv(mSocket, piece, sizeof(piece), 0);
    if (size <= 0)
      return false;
    aTo.append(piece, static_cast<std::size_t>(size));
    return true;
  }

  /// Ends a blocked call in another thread.
  void Shutdown() const { ::shutdown(mSocket, SHUT_RDWR); }

  void Close()
  {
    if (mSocket >= 0)
      ::close(mSocket);
    mSocket = -1;
  }

private:
  int mSocket;
};

/// A listening socket on a free port.
class listener
{
public:
  explicit listener(std::string const& aHost)
    : mSocket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in native = Native({ .mHost = aHost, .mPort = 0 });
    socklen_t size = sizeof(native);
    if (::bind(mSocket, reinterpret_cast<sockaddr const*>(&native), size) !=
          0 ||
        ::listen(mSocket, SOMAXCONN) != 0 ||
        ::getsockname(mSocket, reinterpret_cast<sockaddr*>(&native), &size) !=
          0)
      throw setup_error("can't listen on " + aHost);
    mAddress = { .mHost = aHost, .mPort = ntohs(native.sin_port) };
  }
  listener(listener const&) = delete;
  listener& operator=(listener const&) = delete;
  ~listener() { Close(); }

  [[nodiscard]] address const& Address() const noexcept { return mAddress; }

  /// The next connection; null once the listener is closed.
  std::unique_ptr<connection> Accept() const
  {
    int const socket = ::accept4(mSocket, nullptr, nullptr, SOCK_CLOEXEC);
    return socket < 0 ? nullptr : std::make_unique<connection>(socket);
  }

  /// Ends a blocked Accept(); new connections are refused afterwards.
  void Close()
  {
    if (mSocket < 0)
      return;
    ::shutdown(mSocket, SHUT_RDWR);
    ::close(mSocket);
    mSocket = -1;
  }

private:
  int mSocket;
  address mAddress;
};

/// Two free ports in a row, the first of which is returned: an instance uses
/// the port after that of its peers for tunnels.
inline std::uint16_t
FreePortPair(std::string const& aHost)
{
  for (int attempt = 0; attempt < 100; ++attempt) {
    std::uint16_t const first = listener{ aHost }.Address().mPort;
    int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in const native = Native(
      { .mHost = aHost, .mPort = static_cast<std::uint16_t>(first + 1) });
    bool const isFree = ::bind(socket,
                               reinterpret_cast<sockaddr const*>(&native),
                               sizeof(native)) == 0;
    ::close(socket);
    if (isFree)
      return first;
  }
  throw setup_error("no two free ports in a row");
}

}

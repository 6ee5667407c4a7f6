// Small HTTP/1.1 server and client for the stand-ins of the second review:
// one thread a channel, blocking sockets, loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace second {

using clock = std::chrono::steady_clock;

inline std::int64_t
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           clock::now().time_since_epoch())
    .count();
}

inline void
SleepMs(std::int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

inline std::string
Lower(std::string_view aText)
{
  std::string text{ aText };
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char aC) {
    return static_cast<char>(std::tolower(aC));
  });
  return text;
}

struct http_message
{
  std::string mStart;
  // Names in lower case.
  std::map<std::string, std::string> mHeaders;
  std::string mBody;

  std::string Header(std::string const& aName) const
  {
    auto const found = mHeaders.find(aName);
    return found == mHeaders.end() ? "" : found->second;
  }

  // The N-th word of the first line.
  std::string Word(int aIndex) const
  {
    std::size_t from = 0;
    for (int i = 0; i < aIndex; ++i) {
      from = mStart.find(' ', from);
      if (from == std::string::npos)
        return "";
      ++from;
    }
    return mStart.substr(from, mStart.find(' ', from) - from);
  }
};

inline sockaddr_in
Address(std::string const& aIp, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  return address;
}

// A connected or accepted socket with what was read from it and not used yet.
class channel
{
public:
  explicit channel(int aSocket)
    : mSocket(aSocket)
  {
    int const on = 1;
    setsockopt(mSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  channel(channel const&) = delete;
  channel& operator=(channel const&) = delete;
  ~channel() { close(mSocket); }

  static std::unique_ptr<channel> Connect(std::string const& aIp, int aPort)
  {
    int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in const address = Address(aIp, aPort);
    if (connect(socket,
                reinterpret_cast<sockaddr const*>(&address),
                sizeof address) != 0) {
      close(socket);
      return nullptr;
    }
    return std::make_unique<channel>(socket);
  }

  bool Write(std::string_view aBytes)
  {
    while (!aBytes.empty()) {
      ssize_t const sent =
        send(mSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
      if (sent < 0 && errno == EINTR)
        continue;
      if (sent <= 0)
        return false;
      aBytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }

  // Reads one message with a length, in chunks or without a body. Nothing if
  // the channel ended first or the time is over.
  std::optional<http_message> Read(std::int64_t aTimeoutMs, bool aHasNoBody)
  {
    std::int64_t const until = NowMs() + aTimeoutMs;
    std::size_t end = 0;
    while ((end = mHeld.find("\r\n\r\n")) == std::string::npos)
      if (!Fill(until))
        return std::nullopt;
    http_message message;
    std::size_t at = mHeld.find("\r\n");
    message.mStart = mHeld.substr(0, at);
    while (at < end) {
      std::size_t const from = at + 2;
      at = mHeld.find("\r\n", from);
      std::size_t const colon = mHeld.find(':', from);
      if (colon == std::string::npos || colon > at)
        continue;
      std::size_t const value = mHeld.find_first_not_of(' ', colon + 1);
      message
        .mHeaders[Lower(std::string_view(mHeld).substr(from, colon - from))] =
        value < at ? mHeld.substr(value, at - value) : "";
    }
    mHeld.erase(0, end + 4);
    if (aHasNoBody)
      return message;
    if (Lower(message.Header("transfer-encoding")) == "chunked")
      return ReadChunks(until, message) ? std::optional(std::move(message))
                                        : std::nullopt;
    std::string const length = message.Header("content-length");
    std::size_t const size =
      length.empty() ? 0 : std::strtoull(length.c_str(), nullptr, 10);
    while (mHeld.size() < size)
      if (!Fill(until))
        return std::nullopt;
    message.mBody = mHeld.substr(0, size);
    mHeld.erase(0, size);
    return message;
  }

  // Why the last read ended: 0 for the time, "closed" or "reset".
  std::string const& WhyEnded() const { return mWhyEnded; }
  void Shutdown() { shutdown(mSocket, SHUT_RDWR); }

private:
  bool Fill(std::int64_t aUntil)
  {
    pollfd watched{ .fd = mSocket, .events = POLLIN, .revents = 0 };
    std::int64_t const left = aUntil - NowMs();
    if (left <= 0 || poll(&watched, 1, static_cast<int>(left)) <= 0) {
      mWhyEnded = "no answer in time";
      return false;
    }
    char bytes[65536];
    ssize_t const size = recv(mSocket, bytes, sizeof bytes, 0);
    if (size <= 0) {
      mWhyEnded = size == 0 ? "closed" : "reset";
      return false;
    }
    mHeld.append(bytes, static_cast<std::size_t>(size));
    return true;
  }

  bool ReadChunks(std::int64_t aUntil, http_message& aMessage)
  {
    for (;;) {
      std::size_t line = 0;
      while ((line = mHeld.find("\r\n")) == std::string::npos)
        if (!Fill(aUntil))
          return false;
      std::size_t const size = std::strtoull(mHeld.c_str(), nullptr, 16);
      while (mHeld.size() < line + 2 + size + 2)
        if (!Fill(aUntil))
          return false;
      aMessage.mBody += mHeld.substr(line + 2, size);
      mHeld.erase(0, line + 2 + size + 2);
      if (size == 0)
        return true;
    }
  }

  int mSocket;
  std::string mHeld;
  std::string mWhyEnded;
};

// Serves one address until it is destroyed. The handler writes the whole
// answer to the channel itself; false ends the channel.
class http_server
{
public:
  using handler = std::function<bool(http_message const&, channel&)>;

  http_server(std::string aIp, handler aHandler)
    : mIp(std::move(aIp))
    , mHandler(std::move(aHandler))
  {
    mSocket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = Address(mIp, 0);
    if (bind(mSocket,
             reinterpret_cast<sockaddr const*>(&address),
             sizeof address) != 0 ||
        listen(mSocket, 256) != 0)
      throw std::runtime_error("cannot listen");
    socklen_t size = sizeof address;
    getsockname(mSocket, reinterpret_cast<sockaddr*>(&address), &size);
    mPort = ntohs(address.sin_port);
    mAccepting = std::thread([this] { Accept(); });
  }
  http_server(http_server const&) = delete;
  http_server& operator=(http_server const&) = delete;
  ~http_server()
  {
    shutdown(mSocket, SHUT_RDWR);
    mAccepting.join();
    close(mSocket);
    {
      std::lock_guard const lock(mMutex);
      for (auto const& open : mOpen)
        open->Shutdown();
    }
    for (std::thread& thread : mThreads)
      thread.join();
  }

  int Port() const { return mPort; }
  std::string Name() const { return mIp + ":" + std::to_string(mPort); }

private:
  void Accept()
  {
    for (;;) {
      int const socket = accept4(mSocket, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0)
        return;
      std::lock_guard const lock(mMutex);
      auto const open = std::make_shared<channel>(socket);
      mOpen.push_back(open);
      mThreads.emplace_back([this, open] {
        constexpr std::int64_t kIdleMs = 60000;
        while (auto const message = open->Read(kIdleMs, false))
          if (!mHandler(*message, *open))
            break;
        open->Shutdown();
      });
    }
  }

  std::string mIp;
  handler mHandler;
  int mSocket = -1;
  int mPort = 0;
  std::mutex mMutex;
  std::vector<std::shared_ptr<channel>> mOpen;
  std::vector<std::thread> mThreads;
  std::thread mAccepting;
};

inline bool
Answer(channel& aChannel,
       int aStatus,
       std::string const& aHeaders,
       std::string const& aBody)
{
  return aChannel.Write(
    "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n" + aHeaders +
    "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody);
}

// A port of an address that is free now and that no earlier call gave.
inline int
FreePort(std::string const& aIp)
{
  static std::set<int> given;
  for (;;) {
    int const probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = Address(aIp, 0);
    if (bind(probe,
             reinterpret_cast<sockaddr const*>(&address),
             sizeof address) != 0)
      throw std::runtime_error("no free port");
    socklen_t size = sizeof address;
    getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size);
    close(probe);
    if (given.insert(ntohs(address.sin_port)).second)
      return ntohs(address.sin_port);
  }
}

}

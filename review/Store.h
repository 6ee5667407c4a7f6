#pragma once

#include "Http.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace review {

/// Serves connections at a free loopback port, each on a thread of its own.
/// The handler gets each request and the connection's socket; it returns false
/// to close the connection.
class http_server
{
public:
  using handler = std::function<bool(http_message const&, socket_handle&)>;

  explicit http_server(handler aHandler)
    : mHandler(std::move(aHandler))
  {
    auto [listener, port] = Listen();
    mListener = std::move(listener);
    mPort = port;
    std::thread{ [this]() { Accept(); } }.detach();
  }

  [[nodiscard]] std::uint16_t Port() const { return mPort; }
  [[nodiscard]] std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mPort);
  }

private:
  void Accept()
  {
    for (;;) {
      socket_handle socket{ ::accept4(
        mListener.Get(), nullptr, nullptr, SOCK_CLOEXEC) };
      if (socket.Get() < 0)
        continue;
      SetNoDelay(socket.Get());
      std::thread{
        [this, held = std::move(socket)]() mutable { Serve(held); }
      }.detach();
    }
  }

  void Serve(socket_handle& aSocket)
  {
    http_reader reader{ aSocket.Get() };
    constexpr std::chrono::minutes kIdleTime{ 5 };
    while (std::optional<http_message> const request =
             reader.Read(false, steady::now() + kIdleTime)) {
      if (!request->mIsComplete || !mHandler(*request, aSocket))
        return;
    }
  }

  handler mHandler;
  socket_handle mListener;
  std::uint16_t mPort = 0;
};

inline std::string
Base64(std::string_view aBytes)
{
  constexpr std::string_view kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < aBytes.size(); at += 3) {
    std::uint32_t group = 0;
    for (std::size_t index = 0; index < 3; ++index)
      group =
        (group << 8U) | (at + index < aBytes.size()
                           ? static_cast<unsigned char>(aBytes[at + index])
                           : 0U);
    for (std::size_t index = 0; index < 4; ++index)
      text += at + index > aBytes.size()
                ? '='
                : kDigits[(group >> (18 - 6 * index)) & 63U];
  }
  return text;
}

/// The platform's store, as far as the instances use it: keyed topics that are
/// appended to and read.
class store
{
public:
  store()
    : mServer([this](http_message const& aRequest, socket_handle& aSocket) {
      return Handle(aRequest, aSocket);
    })
  {
  }

  [[nodiscard]] std::string Address() const { return mServer.Address(); }

  /// Writes a record; an empty value drops the key. Returns its offset.
  std::uint64_t Put(std::string const& aTopic,
                    std::string const& aKey,
                    std::string const& aValue)
  {
    std::lock_guard const lock{ mMutex };
    std::vector<entry>& records = mTopics[aTopic];
    records.push_back({ aKey, aValue });
    return records.size() - 1;
  }

private:
  struct entry
  {
    std::string mKey;
    std::string mValue;
  };

  bool Handle(http_message const& aRequest, socket_handle& aSocket)
  {
    std::lock_guard const lock{ mMutex };
    std::string const path =
      aRequest.Target().substr(0, aRequest.Target().find('?'));
    std::vector<entry>& records = mTopics[aRequest.Query("topic")];
    if (path == "/api/log-newest")
      return Answer(aSocket, 200, Newest(records));
    if (path == "/api/log-read")
      return Answer(aSocket,
                    200,
                    Read(records, std::stoull(aRequest.Query("from"))),
                    "application/octet-stream");
    if (path == "/api/log-append")
      return Append(aRequest, records, aSocket);
    return Answer(aSocket, 404, "{}");
  }

  static bool Answer(socket_handle& aSocket,
                     int aStatus,
                     std::string const& aBody,
                     std::string const& aType = "application/json")
  {
    return SendAll(aSocket.Get(),
                   FormatMessage("HTTP/1.1 " + std::to_string(aStatus) + " X",
                                 { { "Content-Type", aType } },
                                 aBody));
  }

  static std::string Newest(std::vector<entry> const& aRecords)
  {
    std::map<std::string, std::size_t> newest;
    for (std::size_t offset = 0; offset < aRecords.size(); ++offset)
      newest[aRecords[offset].mKey] = offset;
    nlohmann::json items = nlohmann::json::array();
    for (auto const& [key, offset] : newest) {
      if (!aRecords[offset].mValue.empty())
        items.push_back({ { "key", key },
                          { "value", Base64(aRecords[offset].mValue) },
                          { "offset", offset } });
    }
    return nlohmann::json{
      { "items", items }, { "more", false }, { "end", aRecords.size() }
    }.dump();
  }

  static std::string BigEndian(std::uint64_t aValue, unsigned aBytes)
  {
    std::string bytes;
    while (aBytes-- > 0)
      bytes += static_cast<char>(aValue >> (8U * aBytes));
    return bytes;
  }

  static std::string Read(std::vector<entry> const& aRecords,
                          std::uint64_t aFrom)
  {
    std::string bytes = BigEndian(aRecords.size(), 8) + BigEndian(0, 8);
    for (std::size_t offset = aFrom; offset < aRecords.size(); ++offset) {
      entry const& found = aRecords[offset];
      bytes += BigEndian(1 + found.mKey.size() + found.mValue.size(), 4) +
               BigEndian(found.mKey.size(), 1) + found.mKey + found.mValue;
    }
    return bytes;
  }

  static bool Append(http_message const& aRequest,
                     std::vector<entry>& aRecords,
                     socket_handle& aSocket)
  {
    std::string const at = aRequest.Query("at");
    if (!at.empty() && std::stoull(at) != aRecords.size())
      return Answer(
        aSocket, 412, nlohmann::json{ { "end", aRecords.size() } }.dump());
    std::size_t const first = aRecords.size();
    std::string_view body = aRequest.mBody;
    while (body.size() >= 5) {
      std::size_t size = 0;
      for (std::size_t index = 0; index < 4; ++index)
        size = (size << 8U) | static_cast<unsigned char>(body[index]);
      std::size_t const keySize = static_cast<unsigned char>(body[4]);
      aRecords.push_back(
        { std::string{ body.substr(5, keySize) },
          std::string{ body.substr(5 + keySize, size - 1 - keySize) } });
      body.remove_prefix(4 + size);
    }
    return Answer(
      aSocket,
      200,
      nlohmann::json{ { "offset", first }, { "end", aRecords.size() } }.dump());
  }

  std::mutex mMutex;
  std::map<std::string, std::vector<entry>> mTopics;
  http_server mServer;
};

}

#pragma once

#include "Server.h"

#include <nlohmann/json.hpp>

#include <map>

namespace review {

/// The platform's store, for keyed topics with one partition: appends, also on
/// condition, reads, and the newest record of each key.
class store
{
public:
  store()
    : mServer("127.0.0.1", [this](message const& aRequest, connection& aTo) {
      return aTo.Send(Handle(aRequest));
    })
  {
  }

  [[nodiscard]] address const& Address() const noexcept
  {
    return mServer.Address();
  }

  /// Writes a record as the operator or a worker does; an empty value removes
  /// the key.
  void Put(std::string const& aTopic,
           std::string const& aKey,
           std::string const& aValue)
  {
    std::lock_guard const lock{ mMutex };
    mTopics[aTopic].push_back(static_cast<char>(aKey.size()) + aKey + aValue);
  }

  /// How many reads of a topic have been answered, whole or from an offset on.
  unsigned Reads(std::string const& aTopic)
  {
    std::lock_guard const lock{ mMutex };
    return mReads[aTopic];
  }

private:
  using records = std::vector<std::string>;

  static std::string Parameter(std::string const& aTarget,
                               std::string const& aName)
  {
    std::size_t const found = aTarget.find(aName + "=");
    if (found == std::string::npos)
      return {};
    std::size_t const begin = found + aName.size() + 1;
    return aTarget.substr(begin, aTarget.find('&', begin) - begin);
  }

  static std::string Number(std::uint64_t aValue, unsigned aBytes)
  {
    std::string bytes;
    for (unsigned index = aBytes; index-- > 0;)
      bytes += static_cast<char>(aValue >> (8 * index));
    return bytes;
  }

  static std::string Base64(std::string const& aBytes)
  {
    constexpr char const* kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                    "abcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < aBytes.size(); at += 3) {
      std::uint32_t group = 0;
      for (std::size_t index = 0; index < 3; ++index)
        group =
          (group << 8U) | (at + index < aBytes.size()
                             ? static_cast<unsigned char>(aBytes[at + index])
                             : 0U);
      for (std::size_t index = 0; index < 4; ++index)
        text += at + index <= aBytes.size()
                  ? kDigits[(group >> (18 - 6 * index)) & 63U]
                  : '=';
    }
    return text;
  }

  std::string Handle(message const& aRequest)
  {
    std::lock_guard const lock{ mMutex };
    std::string const target = aRequest.Second();
    records& topic = mTopics[Parameter(target, "topic")];
    if (target.starts_with("/api/log-append"))
      return Append(target, aRequest.mBody, topic);
    ++mReads[Parameter(target, "topic")];
    if (target.starts_with("/api/log-read"))
      return Read(target, topic);
    if (target.starts_with("/api/log-newest"))
      return Newest(topic);
    return Answer("404 Not Found", {}, {});
  }

  static std::string Append(std::string const& aTarget,
                            std::string const& aBody,
                            records& aTopic)
  {
    std::string const at = Parameter(aTarget, "at");
    if (!at.empty() && std::stoull(at) != aTopic.size())
      return Json("412 Precondition Failed", { { "end", aTopic.size() } });
    std::size_t const offset = aTopic.size();
    for (std::size_t next = 0; next + 4 <= aBody.size();) {
      std::size_t length = 0;
      for (std::size_t index = 0; index < 4; ++index)
        length =
          (length << 8U) | static_cast<unsigned char>(aBody[next + index]);
      aTopic.push_back(aBody.substr(next + 4, length));
      next += 4 + length;
    }
    return Json("200 OK", { { "offset", offset }, { "end", aTopic.size() } });
  }

  static std::string Read(std::string const& aTarget, records const& aTopic)
  {
    std::string bytes = Number(aTopic.size(), 8) + Number(0, 8);
    for (std::size_t at = std::stoull(Parameter(aTarget, "from"));
         at < aTopic.size();
         ++at)
      bytes += Number(aTopic[at].size(), 4) + aTopic[at];
    return Answer("200 OK", {}, bytes);
  }

  static std::string Newest(records const& aTopic)
  {
    std::map<std::string, std::size_t> newest;
    for (std::size_t at = 0; at < aTopic.size(); ++at)
      newest[Key(aTopic[at])] = at;
    nlohmann::json items = nlohmann::json::array();
    for (auto const& [key, at] : newest) {
      std::string const value = aTopic[at].substr(1 + key.size());
      if (!value.empty())
        items.push_back(
          { { "key", key }, { "value", Base64(value) }, { "offset", at } });
    }
    return Json(
      "200 OK",
      { { "items", items }, { "more", false }, { "end", aTopic.size() } });
  }

  static std::string Key(std::string const& aRecord)
  {
    return aRecord.substr(1, static_cast<unsigned char>(aRecord[0]));
  }

  static std::string Json(std::string const& aStatus,
                          nlohmann::json const& aBody)
  {
    return Answer(aStatus, "Content-Type: application/json\r\n", aBody.dump());
  }

  std::mutex mMutex;
  std::map<std::string, records> mTopics;
  std::map<std::string, unsigned> mReads;
  server mServer;
};

}

#include "RestorableStore.h"

#include <LibCodec/Base64Serializer.h>

#include <nlohmann/json.hpp>

namespace lycheeseam {

namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kOffsetBytes = 8;

std::string
BigEndian(std::uint64_t aNumber, std::size_t aBytes)
{
  constexpr unsigned kBitsPerByte = 8;
  std::string bytes;
  for (std::size_t index = aBytes; index-- > 0;)
    bytes += static_cast<char>(aNumber >> (index * kBitsPerByte));
  return bytes;
}

// The value of a parameter in the query of a target; empty without it.
std::string
Parameter(std::string const& aTarget, std::string const& aName)
{
  std::size_t const name = aTarget.find(aName + "=");
  if (name == std::string::npos)
    return {};
  std::size_t const value = name + aName.size() + 1;
  return aTarget.substr(value, aTarget.find('&', value) - value);
}

}

void
restorable_store::Write(std::string const& aTopic,
                        std::string const& aKey,
                        std::string const& aValue)
{
  std::lock_guard const lock{ mMutex };
  mTopics[aTopic].push_back({ .mKey = aKey, .mValue = aValue });
}

void
restorable_store::Copy()
{
  std::lock_guard const lock{ mMutex };
  mCopy = mTopics;
}

void
restorable_store::Restore()
{
  std::lock_guard const lock{ mMutex };
  mTopics = mCopy;
  ++mEra;
}

std::map<std::string, std::string>
restorable_store::Newest(std::string const& aTopic)
{
  std::lock_guard const lock{ mMutex };
  std::map<std::string, std::string> newest;
  for (record const& written : mTopics[aTopic])
    newest[written.mKey] = written.mValue;
  return newest;
}

void
restorable_store::RefuseReads(std::string const& aTopic, int aCount)
{
  std::lock_guard const lock{ mMutex };
  mReadsToRefuse[aTopic] = aCount;
}

void
restorable_store::RefuseAppends(std::string const& aTopic, int aCount)
{
  std::lock_guard const lock{ mMutex };
  mAppendsToRefuse[aTopic] = aCount;
}

void
restorable_store::DropHistory(std::string const& aTopic, int aRefusedReads)
{
  std::lock_guard const lock{ mMutex };
  mFirst[aTopic] = mTopics[aTopic].size();
  mNewestToRefuse[aTopic] = aRefusedReads;
}

std::string
restorable_store::AnswerTo(std::string const& aRequest)
{
  std::lock_guard const lock{ mMutex };
  std::size_t const start = aRequest.find(' ') + 1;
  std::string const target =
    aRequest.substr(start, aRequest.find(' ', start) - start);
  std::string const topic = Parameter(target, "topic");
  std::vector<record>& records = mTopics[topic];
  if (!target.starts_with("/api/log-append") && mReadsToRefuse[topic] > 0) {
    --mReadsToRefuse[topic];
    return Format("503 Service Unavailable", "{}");
  }
  if (target.starts_with("/api/log-newest") && mNewestToRefuse[topic] > 0) {
    --mNewestToRefuse[topic];
    return Format("503 Service Unavailable", "{}");
  }
  if (target.starts_with("/api/log-newest"))
    return AnswerToNewest(records);
  if (target.starts_with("/api/log-read"))
    return AnswerToRead(
      records, mFirst[topic], std::stoull(Parameter(target, "from")));
  if (target.starts_with("/api/log-append") && mAppendsToRefuse[topic] > 0) {
    --mAppendsToRefuse[topic];
    return Format("503 Service Unavailable", "{}");
  }
  if (target.starts_with("/api/log-append"))
    return AnswerToAppend(
      records, target, aRequest.substr(aRequest.find("\r\n\r\n") + 4));
  return Format("404 Not Found", "{}");
}

std::string
restorable_store::AnswerToNewest(std::vector<record> const& aRecords)
{
  std::map<std::string, nlohmann::json> items;
  for (std::size_t offset = 0; offset < aRecords.size(); ++offset) {
    record const& written = aRecords[offset];
    items[written.mKey] = { { "key", written.mKey },
                            { "value",
                              base64_serializer::Write(written.mValue) },
                            { "offset", offset } };
    if (written.mValue.empty())
      items.erase(written.mKey);
  }
  nlohmann::json list = nlohmann::json::array();
  for (auto const& [key, item] : items)
    list.push_back(item);
  return Format("200 OK",
                nlohmann::json{ { "items", list },
                                { "more", false },
                                { "end", aRecords.size() } }
                  .dump());
}

std::string
restorable_store::AnswerToRead(std::vector<record> const& aRecords,
                               std::uint64_t aFirst,
                               std::uint64_t aFrom)
{
  if (aFrom < aFirst || aFrom > aRecords.size())
    return Format("410 Gone", nlohmann::json{ { "first", aFirst } }.dump());
  std::string body =
    BigEndian(aRecords.size(), kOffsetBytes) + BigEndian(aFirst, kOffsetBytes);
  for (std::size_t offset = aFrom; offset < aRecords.size(); ++offset) {
    record const& written = aRecords[offset];
    std::string const content =
      BigEndian(written.mKey.size(), 1) + written.mKey + written.mValue;
    body += BigEndian(content.size(), kLengthBytes) + content;
  }
  return Format("200 OK", body);
}

std::string
restorable_store::AnswerToAppend(std::vector<record>& aRecords,
                                 std::string const& aTarget,
                                 std::string const& aBody)
{
  std::string const at = Parameter(aTarget, "at");
  nlohmann::json const end{ { "end", aRecords.size() } };
  if (!at.empty() && std::stoull(at) != aRecords.size())
    return Format("412 Precondition Failed", end.dump());
  std::size_t const keySize = static_cast<unsigned char>(aBody[kLengthBytes]);
  std::size_t const key = kLengthBytes + 1;
  aRecords.push_back({ .mKey = aBody.substr(key, keySize),
                       .mValue = aBody.substr(key + keySize) });
  return Format("200 OK",
                nlohmann::json{ { "offset", aRecords.size() - 1 },
                                { "end", aRecords.size() } }
                  .dump());
}

std::string
restorable_store::Format(std::string const& aStatus, std::string const& aBody)
{
  return "HTTP/1.1 " + aStatus + "\r\nStore-Era: " + std::to_string(mEra) +
         "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

}

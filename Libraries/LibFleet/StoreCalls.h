#pragma once

#include <LibCore/InvalidInput.h>
#include <LibEvents/EventLog.h>
#include <LibFleet/FleetDialect.h>
#include <LibHttp/HttpClient.h>
#include <LibHttp/HttpStatus.h>

#include <chrono>
#include <functional>
#include <optional>
#include <utility>

namespace lycheeseam {

/// The calls to the store that aren't part of following a topic. Copies make
/// their calls through the same client.
template<fleet_dialect Dialect>
class store_calls
{
public:
  /// Receives the records; empty when the store didn't answer, refused, or sent
  /// an answer that can't be read.
  using newest_handler = std::function<void(std::optional<topic_page>)>;
  /// Receives the result of the append, and the HTTP exchange that it was read
  /// from.
  using append_handler =
    std::function<void(store_append_result, http_exchange_result const&)>;

  store_calls(http_client& aClient, endpoint aStore)
    : mClient(aClient)
    , mStore(std::move(aStore))
  {
  }

  /// Reads the newest record of each key of a small topic.
  void ReadNewest(store_topic aTopic, newest_handler aHandler)
  {
    mClient.Call(
      { .mPurpose = "store_read",
        .mTo = mStore,
        .mHead = Dialect::NewestRequest(aTopic, {}),
        .mTimeout = kTimeout,
        .mMaxAnswerBytes = kMaxPageBytes },
      [handler = std::move(aHandler)](http_exchange_result const& aResult) {
        handler(ReadPage(aResult));
      });
  }

  /// Appends a record; with an offset, only if the topic ends there.
  void Append(store_topic aTopic,
              std::optional<std::uint64_t> aAt,
              keyed_record const& aRecord,
              append_handler aHandler)
  {
    mClient.Call(
      { .mPurpose = "store_append",
        .mTo = mStore,
        .mHead = Dialect::AppendRequest(aTopic, aAt),
        .mBody = Dialect::FormatRecord(aRecord),
        .mTimeout = kTimeout },
      [handler = std::move(aHandler)](http_exchange_result const& aResult) {
        handler(Dialect::ReadAppend(aResult), aResult);
      });
  }

private:
  // A healthy store answers in a few milliseconds, a slow one in some hundreds.
  static constexpr std::chrono::milliseconds kTimeout{ 1'200 };

  static std::optional<topic_page> ReadPage(http_exchange_result const& aResult)
  {
    if (aResult.mHead.mStatus != kHttpOk)
      return std::nullopt;
    try {
      return Dialect::ReadNewest(aResult.mBody, Dialect::ReadEra(aResult));
    } catch (invalid_input const& fault) {
      LogEvent("store_answer_ignored",
               { { "fault", std::string{ fault.what() } } });
      return std::nullopt;
    }
  }

  http_client& mClient;
  endpoint mStore;
};

}

#pragma once

#include <LibCore/InvalidInput.h>
#include <LibFleet/FleetDialect.h>
#include <LibHttp/HttpClient.h>
#include <LibHttp/HttpStatus.h>
#include <LibStore/StoreReadStatus.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <string>
#include <utility>

namespace lycheeseam {

/// Follows a keyed topic of the store: first the newest record of each key,
/// then all records behind them. One read at a time, on the control thread.
template<fleet_dialect Dialect>
class topic_reader
{
public:
  /// aIsWhole is true when the records are all that the topic holds now, so
  /// that keys that aren't among them are gone.
  using record_handler = std::function<
    void(std::uint64_t aFrom, topic_page const& aPage, bool aIsWhole)>;
  using end_handler = std::function<void(store_read_status)>;

  topic_reader(http_client& aClient,
               endpoint aStore,
               store_topic aTopic,
               record_handler aHandler)
    : mClient(aClient)
    , mStore(std::move(aStore))
    , mTopic(aTopic)
    , mHandler(std::move(aHandler))
  {
  }

  /// Lets the next read be of the newest record of each key.
  void Refresh() { mWantsWhole = true; }

  /// Reads what has come since the last read; aDone hears of its end.
  void Read(end_handler aDone)
  {
    if (std::exchange(mIsReading, true))
      return;
    mDone = std::move(aDone);
    if (mNext && !std::exchange(mWantsWhole, false))
      return ReadRecords();
    mWhole = {};
    ReadNewest({});
  }

  [[nodiscard]] bool IsReading() const noexcept { return mIsReading; }

  /// The offset of the next record that hasn't been read; nothing before the
  /// first read.
  [[nodiscard]] std::optional<std::uint64_t> Next() const noexcept
  {
    return mNext;
  }

  /// Takes the newest records that another instance read.
  void TakeWhole(topic_page const& aPage)
  {
    mNext = std::max(mNext.value_or(0), aPage.mEnd);
    mHandler(0, aPage, true);
  }

  /// Takes a page that another instance read; false when it leaves a gap.
  bool Take(std::uint64_t aFrom, topic_page const& aPage)
  {
    if (!mNext || aFrom > *mNext)
      return false;
    if (aPage.mEnd <= *mNext)
      return true;
    mNext = aPage.mEnd;
    mHandler(aFrom, aPage, false);
    return true;
  }

private:
  // A healthy store answers in a few milliseconds, a slow one in some
  // hundreds; beyond this a new connection is the better try.
  static constexpr std::chrono::milliseconds kReadTimeout{ 1'500 };

  void ReadNewest(std::string_view aAfter)
  {
    Call(Dialect::NewestRequest(mTopic, aAfter),
         [this](http_exchange_result const& aResult) { OnNewest(aResult); });
  }

  void OnNewest(http_exchange_result const& aResult)
  {
    if (aResult.mHead.mStatus != kHttpOk)
      return End(store_read_status::Failed);
    topic_page page;
    try {
      page = Dialect::ReadNewest(aResult.mBody);
    } catch (invalid_input const&) {
      return End(store_read_status::Failed);
    }
    // Pages are no snapshot: what changes between them is read again from the
    // first page's end on.
    if (!mFirstEnd)
      mFirstEnd = page.mEnd;
    for (keyed_record& record : page.mRecords)
      mWhole.mRecords.push_back(std::move(record));
    if (page.mHasMore && !mWhole.mRecords.empty())
      return ReadNewest(mWhole.mRecords.back().mKey);
    // What came from others meanwhile isn't read again.
    mWhole.mEnd = *mFirstEnd;
    mNext = std::max(mNext.value_or(0), *mFirstEnd);
    mFirstEnd.reset();
    mHandler(0, mWhole, true);
    End(store_read_status::Done);
  }

  void ReadRecords()
  {
    mReadFrom = *mNext;
    Call(Dialect::RecordsRequest(mTopic, *mNext),
         [this](http_exchange_result const& aResult) { OnRecords(aResult); });
  }

  void OnRecords(http_exchange_result const& aResult)
  {
    if (aResult.mHead.mStatus == kHttpGone) {
      mNext.reset();
      return End(store_read_status::Expired);
    }
    if (aResult.mHead.mStatus != kHttpOk)
      return End(store_read_status::Failed);
    topic_page page;
    try {
      page = Dialect::ReadRecords(aResult.mBody, mReadFrom);
    } catch (invalid_input const&) {
      mNext.reset();
      return End(store_read_status::Failed);
    }
    // Another instance may have passed on records while this read ran.
    std::uint64_t const from = mReadFrom;
    std::uint64_t const next = from + page.mRecords.size();
    page.mEnd = next;
    if (next > *mNext) {
      mNext = next;
      mHandler(from, page, false);
    } else if (page.mRecords.empty()) {
      mHandler(from, page, false);
    }
    End(store_read_status::Done);
  }

  void Call(request_head aHead,
            std::function<void(http_exchange_result const&)> aHandler)
  {
    mClient.Call({ .mPurpose = "store_follow",
                   .mTo = mStore,
                   .mHead = std::move(aHead),
                   .mTimeout = kReadTimeout },
                 std::move(aHandler));
  }

  void End(store_read_status aStatus)
  {
    mIsReading = false;
    mFirstEnd.reset();
    end_handler const done = std::exchange(mDone, nullptr);
    done(aStatus);
  }

  http_client& mClient;
  endpoint mStore;
  store_topic mTopic;
  record_handler mHandler;
  end_handler mDone;
  topic_page mWhole;
  std::optional<std::uint64_t> mFirstEnd;
  std::optional<std::uint64_t> mNext;
  std::uint64_t mReadFrom = 0;
  bool mWantsWhole = false;
  bool mIsReading = false;
};

}

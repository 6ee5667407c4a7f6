#pragma once

#include <LibCore/InvalidInput.h>
#include <LibEvents/EventLog.h>
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

/// Follows a keyed topic of the store: first reads the newest record of each
/// key, then all records after them. Runs one read at a time, on the control
/// thread.
template<fleet_dialect Dialect>
class topic_reader
{
public:
  /// aIsFull is true when the records are all that the topic holds now, so that
  /// keys that are missing among them have been dropped.
  using record_handler = std::function<
    void(std::uint64_t aFrom, topic_page const& aPage, bool aIsFull)>;
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

  /// Makes the next read return the newest record of each key.
  void Refresh() { mIsFullReadDue = true; }

  /// Reads the records from NextOffset() on; while that is empty, and after
  /// Refresh(), the newest record of each key instead. aDone receives how the
  /// read ended. Does nothing while a read runs.
  void Read(end_handler aDone)
  {
    if (std::exchange(mIsReading, true))
      return;
    mDone = std::move(aDone);
    if (mNextOffset && !std::exchange(mIsFullReadDue, false))
      return ReadRecords();
    mFullPage = {};
    ReadNewest({});
  }

  [[nodiscard]] bool IsReading() const noexcept { return mIsReading; }

  /// The offset of the next record to read; empty when the newest record of
  /// each key must be read first.
  [[nodiscard]] std::optional<std::uint64_t> NextOffset() const noexcept
  {
    return mNextOffset;
  }

  /// Applies the newest record of each key, which another instance read.
  void ApplyFullPage(topic_page const& aPage)
  {
    mNextOffset = std::max(mNextOffset.value_or(0), aPage.mEnd);
    mHandler(0, aPage, true);
  }

  /// Applies a page that another instance read; false when records are missing
  /// before it.
  bool ApplyPage(std::uint64_t aFrom, topic_page const& aPage)
  {
    if (!mNextOffset || aFrom > *mNextOffset)
      return false;
    if (aPage.mEnd <= *mNextOffset)
      return true;
    mNextOffset = aPage.mEnd;
    mHandler(aFrom, aPage, false);
    return true;
  }

private:
  // A healthy store answers in a few milliseconds, a slow one in some hundreds;
  // after a longer wait a new connection is more likely to succeed.
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
      LogEra(aResult, page.mEnd);
    } catch (invalid_input const&) {
      return End(store_read_status::Failed);
    }
    // The pages aren't read at one point in time: records that are appended
    // meanwhile are read again from the end of the first page on.
    if (!mFirstPageEnd)
      mFirstPageEnd = page.mEnd;
    for (keyed_record& record : page.mRecords)
      mFullPage.mRecords.push_back(std::move(record));
    if (page.mHasMore && !mFullPage.mRecords.empty())
      return ReadNewest(mFullPage.mRecords.back().mKey);
    // Records that other instances passed on meanwhile aren't read again.
    mFullPage.mEnd = *mFirstPageEnd;
    mNextOffset = std::max(mNextOffset.value_or(0), *mFirstPageEnd);
    mFirstPageEnd.reset();
    mHandler(0, mFullPage, true);
    End(store_read_status::Done);
  }

  void ReadRecords()
  {
    mReadFrom = *mNextOffset;
    Call(Dialect::RecordsRequest(mTopic, *mNextOffset),
         [this](http_exchange_result const& aResult) { OnRecords(aResult); });
  }

  void OnRecords(http_exchange_result const& aResult)
  {
    if (aResult.mHead.mStatus == kHttpGone) {
      mNextOffset.reset();
      return End(store_read_status::Expired);
    }
    if (aResult.mHead.mStatus != kHttpOk)
      return End(store_read_status::Failed);
    topic_page page;
    try {
      page = Dialect::ReadRecords(aResult.mBody, mReadFrom);
      LogEra(aResult, page.mEnd);
    } catch (invalid_input const&) {
      mNextOffset.reset();
      return End(store_read_status::Failed);
    }
    // When another instance passed on all of these records while this read ran,
    // they aren't handed on again. An empty page is, as it shows that the store
    // answers.
    std::uint64_t const from = mReadFrom;
    std::uint64_t const next = from + page.mRecords.size();
    page.mEnd = next;
    if (next > *mNextOffset) {
      mNextOffset = next;
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

  // Logs that the store has been restored, and how far its end is behind what
  // this instance has read.
  void LogEra(http_exchange_result const& aResult, std::uint64_t aEnd)
  {
    store_era const era = Dialect::ReadEra(aResult);
    std::uint64_t const next = mNextOffset.value_or(0);
    bool const isBehind = aEnd < next;
    if (era == mEra && isBehind == mIsBehind)
      return;
    mEra = era;
    mIsBehind = isBehind;
    LogEvent("store_era",
             { { "topic", static_cast<std::int64_t>(mTopic) },
               { "era", static_cast<std::int64_t>(era.Value()) },
               { "end", static_cast<std::int64_t>(aEnd) },
               { "next", static_cast<std::int64_t>(next) } });
  }

  void End(store_read_status aStatus)
  {
    mIsReading = false;
    mFirstPageEnd.reset();
    end_handler const done = std::exchange(mDone, nullptr);
    done(aStatus);
  }

  http_client& mClient;
  endpoint mStore;
  store_topic mTopic;
  record_handler mHandler;
  end_handler mDone;
  topic_page mFullPage;
  std::optional<std::uint64_t> mFirstPageEnd;
  std::optional<std::uint64_t> mNextOffset;
  std::uint64_t mReadFrom = 0;
  store_era mEra;
  bool mIsBehind = false;
  bool mIsFullReadDue = false;
  bool mIsReading = false;
};

}

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
    void(store_position aFrom, topic_page const& aPage, bool aIsFull)>;
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

  /// Reads the records from NextPosition() on; while that is empty, and after
  /// Refresh(), the newest record of each key instead. aDone receives how the
  /// read ended. Does nothing while a read runs.
  void Read(end_handler aDone)
  {
    if (std::exchange(mIsReading, true))
      return;
    mDone = std::move(aDone);
    if (mNext && !std::exchange(mIsFullReadDue, false))
      return ReadRecords();
    mFullPage = {};
    ReadNewest({});
  }

  [[nodiscard]] bool IsReading() const noexcept { return mIsReading; }

  /// The position of the next record to read; empty when the newest record of
  /// each key must be read first.
  [[nodiscard]] std::optional<store_position> NextPosition() const noexcept
  {
    return mNext;
  }

  /// Applies the newest record of each key, which another instance read.
  void ApplyFullPage(topic_page const& aPage)
  {
    if (aPage.mEnd.Era() < mEra)
      return;
    mEra = aPage.mEnd.Era();
    mNext = std::max(mNext.value_or(store_position{}), aPage.mEnd);
    mHandler({}, aPage, true);
  }

  /// Applies a page that another instance read; false when records are missing
  /// before it.
  bool ApplyPage(store_position aFrom, topic_page const& aPage)
  {
    // A range from the first offset on has all records.
    if (!mNext && aFrom.Offset() == 0 && aFrom.Era() >= mEra) {
      mEra = aFrom.Era();
      mNext = aFrom;
    }
    if (!mNext || aFrom > *mNext)
      return false;
    if (aPage.mEnd <= *mNext)
      return true;
    mNext = aPage.mEnd;
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
      page = Dialect::ReadNewest(aResult.mBody, Dialect::ReadEra(aResult));
    } catch (invalid_input const&) {
      return End(store_read_status::Failed);
    }
    // The pages aren't read at one point in time: records that are appended
    // meanwhile are read again from the end of the first page on.
    if (!mFirstPageEnd)
      mFirstPageEnd = page.mEnd;
    // The store was restored meanwhile, or this is a late answer from before.
    store_era const era = page.mEnd.Era();
    if (era != mFirstPageEnd->Era() || era < mEra)
      return Restart(era);
    mEra = era;
    for (keyed_record& record : page.mRecords)
      mFullPage.mRecords.push_back(std::move(record));
    if (page.mHasMore && !mFullPage.mRecords.empty())
      return ReadNewest(mFullPage.mRecords.back().mKey);
    // Records that other instances passed on meanwhile aren't read again.
    mFullPage.mEnd = *mFirstPageEnd;
    mNext = std::max(mNext.value_or(store_position{}), *mFirstPageEnd);
    mFirstPageEnd.reset();
    mHandler({}, mFullPage, true);
    End(store_read_status::Done);
  }

  void ReadRecords()
  {
    mReadFrom = *mNext;
    Call(Dialect::RecordsRequest(mTopic, mReadFrom.Offset()),
         [this](http_exchange_result const& aResult) { OnRecords(aResult); });
  }

  void OnRecords(http_exchange_result const& aResult)
  {
    if (aResult.mHead.mStatus == kHttpGone)
      return Restart(mEra);
    if (aResult.mHead.mStatus != kHttpOk)
      return End(store_read_status::Failed);
    topic_page page;
    try {
      page = Dialect::ReadRecords(
        aResult.mBody, { Dialect::ReadEra(aResult), mReadFrom.Offset() });
    } catch (invalid_input const&) {
      mNext.reset();
      return End(store_read_status::Failed);
    }
    // The records at these offsets aren't those that follow the known ones.
    if (page.mEnd.Era() != mReadFrom.Era())
      return Restart(page.mEnd.Era());
    // When another instance passed on all of these records while this read ran,
    // they aren't handed on again. An empty page is, as it shows that the store
    // answers.
    store_position const next = mReadFrom.Plus(page.mRecords.size());
    page.mEnd = next;
    if (!mNext || next > *mNext) {
      mNext = next;
      mHandler(mReadFrom, page, false);
    } else if (page.mRecords.empty()) {
      mHandler(mReadFrom, page, false);
    }
    End(store_read_status::Done);
  }

  void Call(request_head aHead,
            std::function<void(http_exchange_result const&)> aHandler)
  {
    mClient.Call({ .mPurpose = "store_follow",
                   .mTo = mStore,
                   .mHead = std::move(aHead),
                   .mTimeout = kReadTimeout,
                   .mMaxAnswerBytes = kMaxPageBytes },
                 std::move(aHandler));
  }

  // Makes the next read return the newest record of each key.
  void Restart(store_era aEra)
  {
    LogEvent("topic_reread",
             { { "topic", static_cast<std::int64_t>(mTopic) },
               { "era", static_cast<std::int64_t>(aEra.Value()) },
               { "next",
                 static_cast<std::int64_t>(
                   mNext.value_or(store_position{}).Number()) } });
    mEra = std::max(mEra, aEra);
    mNext.reset();
    End(store_read_status::Expired);
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
  std::optional<store_position> mFirstPageEnd;
  std::optional<store_position> mNext;
  /// The newest era of any page.
  store_era mEra;
  store_position mReadFrom;
  bool mIsFullReadDue = false;
  bool mIsReading = false;
};

}

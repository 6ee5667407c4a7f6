#pragma once

#include <LibCore/InvalidInput.h>
#include <LibEvents/EventLog.h>
#include <LibFleet/FleetDialect.h>
#include <LibHttp/HttpClient.h>
#include <LibHttp/HttpStatus.h>
#include <LibPeer/TopicRelay.h>
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
    bool const isFull =
      std::exchange(mIsFullReadDue, false) || mIsHistoryMissing;
    if (mNext && !isFull)
      return ReadRecords();
    mFullPage = {};
    ReadNewest({});
  }

  [[nodiscard]] bool IsReading() const noexcept { return mIsReading; }

  /// The position of the next record to read; empty before the newest record
  /// of each key was read, here or by a peer.
  [[nodiscard]] std::optional<store_position> NextPosition() const noexcept
  {
    return mNext;
  }

  /// The position from which on all changes are known. Keys that were removed
  /// before it may be unknown here, as the newest records don't show them.
  [[nodiscard]] store_position CompleteFrom() const noexcept
  {
    return mCompleteFrom;
  }

  /// Applies records that another instance read; false when changes may be
  /// missing before them.
  bool Apply(topic_relay const& aRelay)
  {
    topic_page const page{ .mRecords = aRelay.mRecords, .mEnd = aRelay.mEnd };
    if (aRelay.mIsSnapshot) {
      ApplySnapshot(page);
      return true;
    }
    StartFrom(aRelay);
    if (!mNext || aRelay.mFrom > *mNext)
      return false;
    if (page.mEnd <= *mNext)
      return true;
    // This instance may know keys that were removed before the sender began to
    // follow the topic.
    if (aRelay.mCompleteFrom &&
        *aRelay.mCompleteFrom > std::max(*mNext, mCompleteFrom))
      return false;
    if (!aRelay.mCompleteFrom)
      mCompleteFrom = std::max(mCompleteFrom, page.mEnd);
    mNext = page.mEnd;
    mHandler(aRelay.mFrom, page, false);
    return true;
  }

private:
  // A healthy store answers in a few milliseconds, a slow one in some hundreds;
  // after a longer wait a new connection is more likely to succeed.
  static constexpr std::chrono::milliseconds kReadTimeout{ 1'500 };

  void ApplySnapshot(topic_page const& aPage)
  {
    if (aPage.mEnd.Era() < mEra)
      return;
    mEra = aPage.mEnd.Era();
    if (!mNext || aPage.mEnd > *mNext)
      SkipTo(aPage.mEnd);
    mHandler({}, aPage, true);
  }

  // A range from the first offset on has all records, but not the removals of
  // which its sender doesn't know.
  void StartFrom(topic_relay const& aRelay)
  {
    if (mNext || aRelay.mFrom.Offset() != 0 || aRelay.mFrom.Era() < mEra)
      return;
    mEra = aRelay.mFrom.Era();
    mNext = aRelay.mFrom;
    mCompleteFrom = aRelay.mCompleteFrom.value_or(aRelay.mEnd);
  }

  // Changes up to a position haven't been followed one by one.
  void SkipTo(store_position aNext)
  {
    mNext = aNext;
    mCompleteFrom = aNext;
    mIsHistoryMissing = false;
  }

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
    if (!mNext || mIsHistoryMissing)
      SkipTo(std::max(mNext.value_or(store_position{}), mFullPage.mEnd));
    mNext = std::max(*mNext, mFullPage.mEnd);
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
      mIsHistoryMissing = true;
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
    mIsHistoryMissing = true;
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
  store_position mCompleteFrom;
  /// The newest era of any page.
  store_era mEra;
  store_position mReadFrom;
  bool mIsFullReadDue = false;
  /// True while the records from mNext on can't be read. mNext stays, with what
  /// is known: peers send one that reports no end all records, but no removals.
  bool mIsHistoryMissing = false;
  bool mIsReading = false;
};

}

#pragma once

#include <LibPlatform/LogService.h>

#include <Tests/Support/EventQueue.h>
#include <Tests/Support/FakeLogOptions.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <utility>
#include <vector>

namespace lycheeseam {

/// The platform's log in virtual time, with latency, retention, outages and
/// lost or late appends. It also keeps the complete history for checks.
class fake_log
{
public:
  fake_log(event_queue& aQueue, fake_log_options aOptions, std::uint64_t aSeed)
    : mQueue(aQueue)
    , mOptions(aOptions)
    , mRandom(aSeed)
  {
  }

  void Append(log_record const& aRecord, append_callback const& aDone)
  {
    mQueue.After(OneWayDelay(),
                 [this, aRecord, aDone]() { HandleAppend(aRecord, aDone); });
  }

  void Read(read_request const& aRequest, read_callback const& aDone)
  {
    mQueue.After(OneWayDelay(),
                 [this, aRequest, aDone]() { HandleRead(aRequest, aDone); });
  }

  void Offsets(range_callback const& aDone)
  {
    mQueue.After(OneWayDelay(), [this, aDone]() {
      std::optional<log_range> range;
      if (!mHasOutage)
        range = Range();
      mQueue.After(OneWayDelay(), [aDone, range]() { aDone(range); });
    });
  }

  /// Begins or ends an outage.
  void SetOutage(bool aHasOutage)
  {
    mHasOutage = aHasOutage;
    if (aHasOutage)
      AnswerPendingReads([](read_request const&) { return true; });
  }

  /// The options, which may be changed at any time.
  fake_log_options& Options() noexcept { return mOptions; }

  /// All records ever appended, regardless of the retention.
  [[nodiscard]] std::vector<log_entry> const& History() const noexcept
  {
    return mHistory;
  }

  /// Sets the listener that is called for each appended record.
  void OnAppended(std::function<void(log_entry const&)> aListener)
  {
    mListener = std::move(aListener);
  }

  /// The range of offsets within the retention.
  [[nodiscard]] log_range Range() const
  {
    instant const oldest = mQueue.Now() - mOptions.mRetention;
    auto const kept = std::ranges::lower_bound(mAppendedAt, oldest);
    std::size_t const dropped =
      static_cast<std::size_t>(kept - mAppendedAt.begin());
    return { log_offset{ dropped + 1 }, log_offset{ mHistory.size() } };
  }

private:
  struct pending_read
  {
    read_request mRequest;
    read_callback mDone;
  };

  duration OneWayDelay()
  {
    std::uniform_int_distribution<std::int64_t> jitter{
      0, mOptions.mJitter.count()
    };
    return (mOptions.mLatency + std::chrono::microseconds{ jitter(mRandom) }) /
           2;
  }

  bool Chance(int aPercent)
  {
    return std::uniform_int_distribution<int>{ 0, 99 }(mRandom) < aPercent;
  }

  void HandleAppend(log_record const& aRecord, append_callback const& aDone)
  {
    if (mHasOutage || Chance(mOptions.mLatePercent)) {
      // In an outage, some records are buffered on the way and are appended
      // later.
      if (!mHasOutage || Chance(mOptions.mLatePercent))
        AppendLater(aRecord);
      Answer(aDone, { .mStatus = append_status::Unknown });
      return;
    }
    log_offset const offset = AppendNow(aRecord);
    if (Chance(mOptions.mLostPercent))
      Answer(aDone, { .mStatus = append_status::Unknown });
    else
      Answer(aDone, { append_status::Accepted, offset });
  }

  void AppendLater(log_record const& aRecord)
  {
    std::uniform_int_distribution<std::int64_t> delay{
      0, mOptions.mLateBy.count()
    };
    mQueue.After(std::chrono::milliseconds{ delay(mRandom) },
                 [this, aRecord]() { AppendNow(aRecord); });
  }

  void Answer(append_callback const& aDone, append_result aResult)
  {
    mQueue.After(OneWayDelay(), [aDone, aResult]() { aDone(aResult); });
  }

  log_offset AppendNow(log_record const& aRecord)
  {
    log_offset const offset{ mHistory.size() + 1 };
    mHistory.push_back({ offset, aRecord });
    mAppendedAt.push_back(mQueue.Now());
    if (mListener)
      mListener(mHistory.back());
    AnswerPendingReads([offset](read_request const& aRequest) {
      return aRequest.mFrom <= offset;
    });
    return offset;
  }

  void HandleRead(read_request const& aRequest, read_callback const& aDone)
  {
    if (mHasOutage || aRequest.mFrom <= Range().mTail ||
        aRequest.mMaxWait.count() == 0) {
      AnswerRead(aRequest, aDone);
      return;
    }
    std::uint64_t const number = ++mLastReadNumber;
    mPendingReads.emplace(number, pending_read{ aRequest, aDone });
    mQueue.After(aRequest.mMaxWait, [this, number]() { ExpireRead(number); });
  }

  void ExpireRead(std::uint64_t aNumber)
  {
    auto const pending = mPendingReads.extract(aNumber);
    if (!pending.empty())
      AnswerRead(pending.mapped().mRequest, pending.mapped().mDone);
  }

  template<typename Predicate>
  void AnswerPendingReads(Predicate aIsDue)
  {
    auto const answer = [&](auto const& aPending) {
      pending_read const& read = aPending.second;
      if (!aIsDue(read.mRequest))
        return false;
      AnswerRead(read.mRequest, read.mDone);
      return true;
    };
    std::erase_if(mPendingReads, answer);
  }

  void AnswerRead(read_request const& aRequest, read_callback const& aDone)
  {
    read_result const result = ResultOf(aRequest);
    mQueue.After(OneWayDelay(), [aDone, result]() { aDone(result); });
  }

  [[nodiscard]] read_result ResultOf(read_request const& aRequest) const
  {
    if (mHasOutage)
      return {};
    log_range const range = Range();
    if (aRequest.mFrom < range.mEarliest)
      return { .mStatus = read_status::BeforeRetention, .mRange = range };
    read_result result{ .mStatus = read_status::Complete, .mRange = range };
    std::size_t index = aRequest.mFrom.Value() - 1;
    while (index < mHistory.size() &&
           result.mEntries.size() < aRequest.mMaxRecords)
      result.mEntries.push_back(mHistory[index++]);
    return result;
  }

  event_queue& mQueue;
  fake_log_options mOptions;
  std::mt19937_64 mRandom;
  bool mHasOutage = false;
  std::vector<log_entry> mHistory;
  std::vector<instant> mAppendedAt;
  std::function<void(log_entry const&)> mListener;
  std::map<std::uint64_t, pending_read> mPendingReads;
  std::uint64_t mLastReadNumber = 0;
};

static_assert(log_service<fake_log>);

}

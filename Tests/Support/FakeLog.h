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

/// The platform's log in virtual time, with a full history beside what it
/// still gives out.
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
    mQueue.After(Travel(),
                 [this, aRecord, aDone]() { Arrive(aRecord, aDone); });
  }

  void Read(read_request const& aRequest, read_callback const& aDone)
  {
    mQueue.After(Travel(),
                 [this, aRequest, aDone]() { Hold(aRequest, aDone); });
  }

  void Offsets(range_callback const& aDone)
  {
    mQueue.After(Travel(), [this, aDone]() {
      std::optional<log_range> range;
      if (!mIsOut)
        range = Range();
      mQueue.After(Travel(), [aDone, range]() { aDone(range); });
    });
  }

  /// Begins or ends an outage.
  void SetOutage(bool aIsOut)
  {
    mIsOut = aIsOut;
    if (aIsOut)
      AnswerReads([](read_request const&) { return true; });
  }

  /// Changes how it behaves.
  fake_log_options& Options() noexcept { return mOptions; }

  /// Every record ever, whatever the retention.
  [[nodiscard]] std::vector<log_entry> const& History() const noexcept
  {
    return mHistory;
  }

  /// Hears of each record when it lands.
  void OnLanded(std::function<void(log_entry const&)> aListener)
  {
    mListener = std::move(aListener);
  }

  /// What it gives out.
  [[nodiscard]] log_range Range() const
  {
    instant const oldest = mQueue.Now() - mOptions.mRetention;
    auto const kept = std::ranges::lower_bound(mLandedAt, oldest);
    std::size_t const dropped =
      static_cast<std::size_t>(kept - mLandedAt.begin());
    return { log_offset{ dropped + 1 }, log_offset{ mHistory.size() } };
  }

private:
  struct held_read
  {
    read_request mRequest;
    read_callback mDone;
  };

  duration Travel()
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

  void Arrive(log_record const& aRecord, append_callback const& aDone)
  {
    if (mIsOut || Chance(mOptions.mLatePercent)) {
      // In an outage some records are kept somewhere and land after it.
      if (!mIsOut || Chance(mOptions.mLatePercent))
        LandLater(aRecord);
      Answer(aDone, { .mStatus = append_status::Unknown });
      return;
    }
    log_offset const offset = Land(aRecord);
    if (Chance(mOptions.mLostPercent))
      Answer(aDone, { .mStatus = append_status::Unknown });
    else
      Answer(aDone, { append_status::Accepted, offset });
  }

  void LandLater(log_record const& aRecord)
  {
    std::uniform_int_distribution<std::int64_t> delay{
      0, mOptions.mLateBy.count()
    };
    mQueue.After(std::chrono::milliseconds{ delay(mRandom) },
                 [this, aRecord]() { Land(aRecord); });
  }

  void Answer(append_callback const& aDone, append_result aResult)
  {
    mQueue.After(Travel(), [aDone, aResult]() { aDone(aResult); });
  }

  log_offset Land(log_record const& aRecord)
  {
    log_offset const offset{ mHistory.size() + 1 };
    mHistory.push_back({ offset, aRecord });
    mLandedAt.push_back(mQueue.Now());
    if (mListener)
      mListener(mHistory.back());
    AnswerReads([offset](read_request const& aRequest) {
      return aRequest.mFrom <= offset;
    });
    return offset;
  }

  void Hold(read_request const& aRequest, read_callback const& aDone)
  {
    if (mIsOut || aRequest.mFrom <= Range().mTail ||
        aRequest.mMaxWait.count() == 0) {
      AnswerRead(aRequest, aDone);
      return;
    }
    std::uint64_t const number = ++mLastHeld;
    mHeld.emplace(number, held_read{ aRequest, aDone });
    mQueue.After(aRequest.mMaxWait, [this, number]() { Expire(number); });
  }

  void Expire(std::uint64_t aNumber)
  {
    auto const held = mHeld.extract(aNumber);
    if (!held.empty())
      AnswerRead(held.mapped().mRequest, held.mapped().mDone);
  }

  template<typename Predicate>
  void AnswerReads(Predicate aIsDue)
  {
    auto const answer = [&](auto const& aHeld) {
      held_read const& read = aHeld.second;
      if (!aIsDue(read.mRequest))
        return false;
      AnswerRead(read.mRequest, read.mDone);
      return true;
    };
    std::erase_if(mHeld, answer);
  }

  void AnswerRead(read_request const& aRequest, read_callback const& aDone)
  {
    read_result const result = ResultOf(aRequest);
    mQueue.After(Travel(), [aDone, result]() { aDone(result); });
  }

  [[nodiscard]] read_result ResultOf(read_request const& aRequest) const
  {
    if (mIsOut)
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
  bool mIsOut = false;
  std::vector<log_entry> mHistory;
  std::vector<instant> mLandedAt;
  std::function<void(log_entry const&)> mListener;
  std::map<std::uint64_t, held_read> mHeld;
  std::uint64_t mLastHeld = 0;
};

static_assert(log_service<fake_log>);

}

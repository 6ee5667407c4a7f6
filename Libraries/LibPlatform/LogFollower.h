#pragma once

#include <LibCore/Instant.h>
#include <LibCore/InvalidInput.h>
#include <LibPlatform/Backoff.h>
#include <LibPlatform/CheckpointSearch.h>
#include <LibPlatform/FollowerOptions.h>
#include <LibPlatform/FollowerPhase.h>
#include <LibPlatform/LogObserver.h>
#include <LibPlatform/LogService.h>
#include <LibRecords/ReplicatedState.h>

#include <cstdint>
#include <optional>

namespace lycheeseam {

/// Reads the log and applies its entries to a state: it starts from the newest
/// checkpoint, reaches the tail and then applies new records as they come. It
/// must outlive the callbacks that it gave to the log. Observer is a
/// log_observer.
template<log_service Log, replicated_state State, typename Observer>
class log_follower
{
public:
  /// Follows a state that was loaded from a peer's snapshot from its offset on;
  /// an empty state starts with the search for the newest checkpoint.
  log_follower(Log& aLog,
               State& aState,
               Observer& aObserver,
               follower_options aOptions)
    : mLog(aLog)
    , mState(aState)
    , mObserver(aObserver)
    , mOptions(aOptions)
    , mBackoff(aOptions.mFirstBackoff, aOptions.mLongestBackoff)
  {
    if (mState.Offset() > log_offset{})
      mPhase = follower_phase::Following;
  }

  /// Starts the next read if one is due. Returns when to call again at the
  /// latest; nothing while a read is in flight, since its end calls the
  /// observer's OnReadEnd.
  std::optional<instant> Advance(instant aNow)
  {
    // Checked here, since an owner that is its own observer is an incomplete
    // type where it declares its follower.
    static_assert(log_observer<Observer>);
    mNow = aNow;
    if (mIsReading)
      return std::nullopt;
    if (mHasFailed) {
      mHasFailed = false;
      mBackoff.Fail(aNow);
    }
    if (!mBackoff.IsOver(aNow))
      return mBackoff.Until();
    StartRead();
    return std::nullopt;
  }

  /// Continues from the state's offset after a peer's snapshot was loaded.
  void OnStateLoaded() noexcept { mPhase = follower_phase::Following; }

  /// When the state was last known to be at the tail: the time at which the
  /// read that showed it was sent; nothing before the first such read.
  [[nodiscard]] std::optional<instant> ConfirmedAt() const noexcept
  {
    return mConfirmedAt;
  }

  /// The log's range from the last answer that held one.
  [[nodiscard]] log_range Range() const noexcept { return mRange; }

  /// The current phase.
  [[nodiscard]] follower_phase Phase() const noexcept { return mPhase; }

private:
  void StartRead()
  {
    mIsReading = true;
    mSentAt = mNow;
    switch (mPhase) {
      case follower_phase::Locating:
        mLog.Offsets([this](std::optional<log_range> const& aRange) {
          EndRead(OnRange(aRange));
        });
        return;
      case follower_phase::Searching:
        ReadFrom(*mSearch->Next(), {}, [this](read_result const& aResult) {
          EndRead(OnSearchRead(aResult));
        });
        return;
      case follower_phase::Following:
        ReadFrom(mState.Offset().Next(),
                 mOptions.mMaxWait,
                 [this](read_result const& aResult) {
                   EndRead(OnFollowRead(aResult));
                 });
        return;
    }
  }

  void ReadFrom(log_offset aFrom,
                std::chrono::milliseconds aWait,
                read_callback aDone)
  {
    mLog.Read({ .mFrom = aFrom,
                .mMaxRecords = mOptions.mMaxRecords,
                .mMaxWait = aWait },
              std::move(aDone));
  }

  // The backoff after a failure starts at the next call of Advance, since only
  // the owner passes in the time.
  void EndRead(bool aHasSucceeded)
  {
    mIsReading = false;
    mHasFailed = !aHasSucceeded;
    if (aHasSucceeded)
      mBackoff.Succeed();
    mObserver.OnReadEnd();
  }

  bool OnRange(std::optional<log_range> const& aRange)
  {
    // A snapshot may have been loaded while the query was in flight.
    if (mPhase != follower_phase::Locating)
      return true;
    if (!aRange)
      return false;
    mRange = *aRange;
    mSearch.emplace(mRange, mOptions.mSearchWindow);
    mPhase = follower_phase::Searching;
    return AdvanceSearch();
  }

  bool OnSearchRead(read_result const& aResult)
  {
    if (mPhase != follower_phase::Searching)
      return true;
    if (aResult.mStatus == read_status::BeforeRetention)
      return Relocate();
    if (aResult.mStatus != read_status::Complete || aResult.mEntries.empty())
      return false;
    mSearch->Add(aResult.mEntries);
    return AdvanceSearch();
  }

  // Continues with the next window when one has been read, and ends the search
  // when the state can start from a checkpoint or from the log's first record.
  // False when neither exists: the search is repeated after a backoff, until
  // another instance has appended a checkpoint.
  bool AdvanceSearch()
  {
    if (mSearch->Next())
      return true;
    while (mSearch->Best()) {
      if (LoadBest())
        return true;
    }
    if (mSearch->Widen())
      return true;
    bool const isFresh = mState.Offset() == log_offset{};
    if (isFresh && mSearch->HasCompleteLog()) {
      mPhase = follower_phase::Following;
      return true;
    }
    Relocate();
    return false;
  }

  bool LoadBest()
  {
    checkpoint const best = *mSearch->Best();
    try {
      mState.Load(best.mCovers, best.mState);
    } catch (invalid_input const&) {
      // Another version wrote it in a format that this one can't read; older
      // checkpoints are tried.
      mSearch->DiscardBest();
      return false;
    }
    mPhase = follower_phase::Following;
    mObserver.OnJump(best.mCovers);
    return true;
  }

  bool Relocate()
  {
    mPhase = follower_phase::Locating;
    return true;
  }

  bool OnFollowRead(read_result const& aResult)
  {
    if (aResult.mStatus == read_status::Unavailable)
      return false;
    // A log with a tail below the applied offset is not the log that was
    // followed; following it would revert changes that are in force.
    if (aResult.mRange.mTail < mState.Offset())
      return false;
    mRange = aResult.mRange;
    if (aResult.mStatus == read_status::BeforeRetention)
      return Relocate();
    for (log_entry const& entry : aResult.mEntries)
      ApplyNext(entry);
    if (mState.Offset() >= mRange.mTail)
      mConfirmedAt = mSentAt;
    return true;
  }

  void ApplyNext(log_entry const& aEntry)
  {
    // A snapshot loaded while the read was in flight may already cover the
    // entry.
    if (aEntry.mOffset != mState.Offset().Next())
      return;
    mState.Apply(aEntry);
    mObserver.OnEntry(aEntry);
  }

  Log& mLog;
  State& mState;
  Observer& mObserver;
  follower_options mOptions;
  backoff mBackoff;
  follower_phase mPhase = follower_phase::Locating;
  std::optional<checkpoint_search> mSearch;
  log_range mRange;
  bool mIsReading = false;
  bool mHasFailed = false;
  instant mNow{};
  instant mSentAt{};
  std::optional<instant> mConfirmedAt;
};

}

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

/// Brings a state up to the log's tail and keeps it there. It must outlive
/// the callbacks that it gave to the log. Observer is a log_observer.
template<log_service Log, replicated_state State, typename Observer>
class log_follower
{
public:
  /// A state that was loaded from a peer's snapshot is followed from there;
  /// an empty one begins with the newest checkpoint.
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
  /// latest; nothing while a read is under way, whose end the observer hears.
  std::optional<instant> Advance(instant aNow)
  {
    // Checked here, since an owner that observes is incomplete as a type
    // where it declares its follower.
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

  /// Has the state gone on from a peer's snapshot in the meantime: follow it.
  void OnStateLoaded() noexcept { mPhase = follower_phase::Following; }

  /// When the tail was last known to be applied, counted from the sending of
  /// the read that showed it; nothing before the first time.
  [[nodiscard]] std::optional<instant> ConfirmedAt() const noexcept
  {
    return mConfirmedAt;
  }

  /// The log's range as last heard.
  [[nodiscard]] log_range Range() const noexcept { return mRange; }

  /// What it is doing.
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
          EndRead(OnSearched(aResult));
        });
        return;
      case follower_phase::Following:
        ReadFrom(
          mState.Offset().Next(),
          mOptions.mMaxWait,
          [this](read_result const& aResult) { EndRead(OnFollowed(aResult)); });
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

  // The pause after a failure starts when the owner advances next, since
  // only it knows the time.
  void EndRead(bool aIsGood)
  {
    mIsReading = false;
    mHasFailed = !aIsGood;
    if (aIsGood)
      mBackoff.Succeed();
    mObserver.OnReadEnd();
  }

  bool OnRange(std::optional<log_range> const& aRange)
  {
    // A snapshot may have been loaded while the question was under way.
    if (mPhase != follower_phase::Locating)
      return true;
    if (!aRange)
      return false;
    mRange = *aRange;
    mSearch.emplace(mRange, mOptions.mSearchWindow);
    mPhase = follower_phase::Searching;
    return EndWindow();
  }

  bool OnSearched(read_result const& aResult)
  {
    if (mPhase != follower_phase::Searching)
      return true;
    if (aResult.mStatus == read_status::BeforeRetention)
      return Relocate();
    if (aResult.mStatus != read_status::Complete || aResult.mEntries.empty())
      return false;
    mSearch->Add(aResult.mEntries);
    return EndWindow();
  }

  // Goes on to the next window when one is done, and ends the search when
  // there is something to start from. False when there is nothing: then
  // another instance's checkpoint is waited for.
  bool EndWindow()
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
    if (isFresh && mSearch->HasWholeLog()) {
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
      // Written by a version that this one can't read; older ones are tried.
      mSearch->RefuseBest();
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

  bool OnFollowed(read_result const& aResult)
  {
    if (aResult.mStatus == read_status::Unavailable)
      return false;
    // A log that is shorter than what was applied is not the log that was
    // followed; going back would revert what is in force.
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
    // A snapshot loaded while the read was under way may be ahead of it.
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

#pragma once

#include <LibCore/Instant.h>
#include <LibPlatform/AppenderOptions.h>
#include <LibPlatform/LogService.h>
#include <LibPlatform/PendingAppend.h>
#include <LibRecords/LogEntry.h>
#include <LibRecords/OriginOf.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lycheeseam {

/// Appends records and finds out for certain what became of each. It hears of
/// applied entries as a follower's observer, and must outlive the callbacks
/// that it gave to the log.
///
/// A record whose answer was lost is sent again under the same proposal id:
/// folds take the first copy only. When that is given up, the record's end is
/// known once its last offset has been applied; an idle log is moved there.
template<log_service Log>
class log_appender
{
public:
  log_appender(Log& aLog, appender_options aOptions)
    : mLog(aLog)
    , mOptions(std::move(aOptions))
    , mIdleBackoff(mOptions.mFirstBackoff, mOptions.mLongestBackoff)
  {
  }

  /// Fills in the record's origin and sends it. The callback runs when its
  /// end is definite, after the folds have applied it. Returns its id.
  proposal_id Submit(log_record aRecord, instant aNow, outcome_callback aDone)
  {
    record_origin const origin = NextOrigin();
    OriginOf(aRecord) = origin;
    auto const [pending, isNew] = mPending.emplace(
      origin.mProposal,
      pending_append{
        .mRecord = std::move(aRecord),
        .mLastOffset = origin.mLastOffset,
        .mDone = std::move(aDone),
        .mGiveUpAt = aNow + mOptions.mGiveUpAfter,
        .mBackoff = { mOptions.mFirstBackoff, mOptions.mLongestBackoff } });
    Send(pending->second);
    return origin.mProposal;
  }

  /// Sends again what is due, with the log's tail as last heard. Returns when
  /// to call again at the latest.
  std::optional<instant> Advance(instant aNow, log_offset aTail)
  {
    mTail = std::max(mTail, aTail);
    std::optional<instant> next;
    std::vector<proposal_id> ended;
    log_offset wanted;
    for (auto& [proposal, pending] : mPending) {
      NoteFailure(pending, aNow);
      if (pending.mIsSending || pending.mAcceptedAt > log_offset{})
        continue;
      if (aNow < pending.mGiveUpAt)
        SendWhenDue(pending, aNow, next);
      else if (pending.mMayLand)
        wanted = std::max(wanted, pending.mLastOffset);
      else
        ended.push_back(proposal);
    }
    for (proposal_id const& proposal : ended)
      Finish(proposal, append_end::NotLanded, {});
    if (wanted > mTail)
      MoveIdleLog(wanted, aNow, next);
    return next;
  }

  /// An entry was applied.
  void OnEntry(log_entry const& aEntry)
  {
    Raise(aEntry.mOffset);
    proposal_id const proposal = OriginOf(aEntry.mRecord).mProposal;
    auto const found = mPending.find(proposal);
    if (found != mPending.end() && aEntry.mOffset <= found->second.mLastOffset)
      Finish(proposal, append_end::Landed, aEntry.mOffset);
    FinishPassed();
  }

  /// The state jumped to a checkpoint.
  void OnJump(log_offset aCovers)
  {
    Raise(aCovers);
    for (auto& [proposal, pending] : mPending)
      pending.mWasSkipped = true;
    FinishPassed();
  }

  /// How many records have no definite end yet.
  [[nodiscard]] std::size_t PendingCount() const noexcept
  {
    return mPending.size();
  }

private:
  record_origin NextOrigin()
  {
    ++mSubmitted;
    std::string const id = mOptions.mInstance.Text() + ":" +
                           std::to_string(mOptions.mIncarnation.Value()) + ":" +
                           std::to_string(mSubmitted);
    return { .mProposal = proposal_id{ id },
             .mInstance = mOptions.mInstance,
             .mIncarnation = mOptions.mIncarnation,
             .mLastOffset = log_offset{ mTail.Value() + mOptions.mWindow } };
  }

  void Send(pending_append& aPending)
  {
    aPending.mIsSending = true;
    proposal_id const proposal = OriginOf(aPending.mRecord).mProposal;
    mLog.Append(aPending.mRecord,
                [this, proposal](append_result const& aResult) {
                  OnAnswer(proposal, aResult);
                });
  }

  void SendWhenDue(pending_append& aPending,
                   instant aNow,
                   std::optional<instant>& aNext)
  {
    if (aPending.mBackoff.IsOver(aNow))
      Send(aPending);
    else
      Earlier(aNext, aPending.mBackoff.Until());
  }

  void OnAnswer(proposal_id const& aProposal, append_result const& aResult)
  {
    auto const found = mPending.find(aProposal);
    if (found == mPending.end())
      return;
    pending_append& pending = found->second;
    pending.mIsSending = false;
    pending.mHasFailed = aResult.mStatus != append_status::Accepted;
    if (aResult.mStatus == append_status::Unknown)
      pending.mMayLand = true;
    if (aResult.mStatus == append_status::Accepted) {
      mTail = std::max(mTail, aResult.mOffset);
      pending.mMayLand = true;
      pending.mAcceptedAt = aResult.mOffset;
    }
    FinishPassed();
  }

  static void NoteFailure(pending_append& aPending, instant aNow)
  {
    if (!aPending.mHasFailed)
      return;
    aPending.mHasFailed = false;
    aPending.mBackoff.Fail(aNow);
  }

  // Readers of the log have to see the last offset; without other traffic
  // nothing would ever reach it. Only the records that are missing up to
  // there are sent: this instance may be far behind a log that isn't idle.
  void MoveIdleLog(log_offset aWanted,
                   instant aNow,
                   std::optional<instant>& aNext)
  {
    if (mHasIdleMoveFailed) {
      mHasIdleMoveFailed = false;
      mIdleBackoff.Fail(aNow);
    }
    if (!mIdleBackoff.IsOver(aNow)) {
      Earlier(aNext, mIdleBackoff.Until());
      return;
    }
    std::uint64_t const missing = aWanted.Value() - mTail.Value();
    std::uint64_t const allowed =
      std::min<std::uint64_t>(missing, mOptions.mMaxIdleMoves);
    while (mIdleMoves < allowed)
      StartIdleMove();
  }

  void StartIdleMove()
  {
    ++mIdleMoves;
    mLog.Append(no_operation{}, [this](append_result const& aResult) {
      --mIdleMoves;
      mTail = std::max(mTail, aResult.mOffset);
      mHasIdleMoveFailed = aResult.mStatus != append_status::Accepted;
      if (!mHasIdleMoveFailed)
        mIdleBackoff.Succeed();
    });
  }

  void FinishPassed()
  {
    std::vector<proposal_id> passed;
    for (auto const& [proposal, pending] : mPending) {
      if (mApplied >= pending.mLastOffset || IsSkipped(pending))
        passed.push_back(proposal);
    }
    for (proposal_id const& proposal : passed) {
      bool const wasSkipped = mPending.at(proposal).mWasSkipped;
      Finish(
        proposal, wasSkipped ? append_end::Skipped : append_end::NotLanded, {});
    }
  }

  // The copy that the log took stands where the state jumped over.
  [[nodiscard]] bool IsSkipped(pending_append const& aPending) const
  {
    return aPending.mWasSkipped && aPending.mAcceptedAt > log_offset{} &&
           aPending.mAcceptedAt <= mApplied;
  }

  // The callback may submit again, so the entry goes first.
  void Finish(proposal_id const& aProposal, append_end aEnd, log_offset aOffset)
  {
    auto const ended = mPending.extract(aProposal);
    ended.mapped().mDone(
      { .mProposal = aProposal, .mEnd = aEnd, .mOffset = aOffset });
  }

  void Raise(log_offset aApplied)
  {
    mApplied = std::max(mApplied, aApplied);
    mTail = std::max(mTail, aApplied);
  }

  static void Earlier(std::optional<instant>& aNext, instant aOther)
  {
    aNext = aNext ? std::min(*aNext, aOther) : aOther;
  }

  Log& mLog;
  appender_options mOptions;
  std::map<proposal_id, pending_append> mPending;
  log_offset mApplied;
  log_offset mTail;
  std::uint64_t mSubmitted = 0;
  std::uint32_t mIdleMoves = 0;
  backoff mIdleBackoff;
  bool mHasIdleMoveFailed = false;
};

}

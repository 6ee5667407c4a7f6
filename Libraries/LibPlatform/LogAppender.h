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

/// Appends records and determines the final outcome of each. Its owner passes
/// it the applied entries and jumps that a follower reports to its observer.
/// It must outlive the callbacks that it gave to the log.
///
/// A record whose append failed is sent again under the same proposal id: folds
/// apply the first copy only. After the retries end, the outcome is known once
/// the record's last offset has been applied; an idle log is advanced up to it
/// with no-operations.
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

  /// Fills in the record's origin and sends it. The callback runs when the
  /// outcome is final, after the folds have applied the entry, if any. Returns
  /// the proposal id.
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

  /// Sends the records again that are due; aTail is the last known tail of the
  /// log. Returns when to call again at the latest.
  std::optional<instant> Advance(instant aNow, log_offset aTail)
  {
    mTail = std::max(mTail, aTail);
    std::optional<instant> next;
    std::vector<proposal_id> ended;
    log_offset wanted;
    for (auto& [proposal, pending] : mPending) {
      StartBackoff(pending, aNow);
      if (pending.mIsSending || pending.mAcceptedAt > log_offset{})
        continue;
      if (aNow < pending.mGiveUpAt)
        SendWhenDue(pending, aNow, next);
      else if (pending.mMayBeInLog)
        wanted = std::max(wanted, pending.mLastOffset);
      else
        ended.push_back(proposal);
    }
    for (proposal_id const& proposal : ended)
      Finish(proposal, append_end::NotApplied, {});
    if (wanted > mTail)
      AdvanceIdleLog(wanted, aNow, next);
    return next;
  }

  /// Takes an applied entry and finishes the records whose outcome it decides.
  void OnEntry(log_entry const& aEntry)
  {
    RaiseOffsets(aEntry.mOffset);
    proposal_id const proposal = OriginOf(aEntry.mRecord).mProposal;
    auto const found = mPending.find(proposal);
    if (found != mPending.end() && aEntry.mOffset <= found->second.mLastOffset)
      Finish(proposal, append_end::Applied, aEntry.mOffset);
    FinishDecided();
  }

  /// Records that the state was loaded from a checkpoint, and finishes the
  /// records whose outcome that decides.
  void OnJump(log_offset aCovers)
  {
    RaiseOffsets(aCovers);
    for (auto& [proposal, pending] : mPending)
      pending.mWasSkipped = true;
    FinishDecided();
  }

  /// The number of records without a final outcome.
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
      KeepEarlier(aNext, aPending.mBackoff.Until());
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
      pending.mMayBeInLog = true;
    if (aResult.mStatus == append_status::Accepted) {
      mTail = std::max(mTail, aResult.mOffset);
      pending.mMayBeInLog = true;
      pending.mAcceptedAt = aResult.mOffset;
    }
    FinishDecided();
  }

  static void StartBackoff(pending_append& aPending, instant aNow)
  {
    if (!aPending.mHasFailed)
      return;
    aPending.mHasFailed = false;
    aPending.mBackoff.Fail(aNow);
  }

  // The outcome is known only once the record's last offset has been applied,
  // and without other traffic the log would never reach it. No more records
  // than are missing up to that offset are sent: this instance may lag far
  // behind a log that isn't idle.
  void AdvanceIdleLog(log_offset aWanted,
                      instant aNow,
                      std::optional<instant>& aNext)
  {
    if (mHasIdleAppendFailed) {
      mHasIdleAppendFailed = false;
      mIdleBackoff.Fail(aNow);
    }
    if (!mIdleBackoff.IsOver(aNow)) {
      KeepEarlier(aNext, mIdleBackoff.Until());
      return;
    }
    std::uint64_t const missing = aWanted.Value() - mTail.Value();
    std::uint64_t const allowed =
      std::min<std::uint64_t>(missing, mOptions.mMaxIdleAppends);
    while (mIdleAppends < allowed)
      StartIdleAppend();
  }

  void StartIdleAppend()
  {
    ++mIdleAppends;
    mLog.Append(no_operation{}, [this](append_result const& aResult) {
      --mIdleAppends;
      mTail = std::max(mTail, aResult.mOffset);
      mHasIdleAppendFailed = aResult.mStatus != append_status::Accepted;
      if (!mHasIdleAppendFailed)
        mIdleBackoff.Succeed();
    });
  }

  void FinishDecided()
  {
    std::vector<proposal_id> decided;
    for (auto const& [proposal, pending] : mPending) {
      if (mApplied >= pending.mLastOffset || IsSkipped(pending))
        decided.push_back(proposal);
    }
    for (proposal_id const& proposal : decided) {
      bool const wasSkipped = mPending.at(proposal).mWasSkipped;
      Finish(proposal,
             wasSkipped ? append_end::Skipped : append_end::NotApplied,
             {});
    }
  }

  // True when a checkpoint covers the offset of the copy that the log accepted,
  // so that its entry is never seen.
  [[nodiscard]] bool IsSkipped(pending_append const& aPending) const
  {
    return aPending.mWasSkipped && aPending.mAcceptedAt > log_offset{} &&
           aPending.mAcceptedAt <= mApplied;
  }

  // The callback may submit another record, so the pending one is removed
  // before the call.
  void Finish(proposal_id const& aProposal, append_end aEnd, log_offset aOffset)
  {
    auto const ended = mPending.extract(aProposal);
    ended.mapped().mDone(
      { .mProposal = aProposal, .mEnd = aEnd, .mOffset = aOffset });
  }

  void RaiseOffsets(log_offset aApplied)
  {
    mApplied = std::max(mApplied, aApplied);
    mTail = std::max(mTail, aApplied);
  }

  static void KeepEarlier(std::optional<instant>& aNext, instant aOther)
  {
    aNext = aNext ? std::min(*aNext, aOther) : aOther;
  }

  Log& mLog;
  appender_options mOptions;
  std::map<proposal_id, pending_append> mPending;
  log_offset mApplied;
  log_offset mTail;
  std::uint64_t mSubmitted = 0;
  std::uint32_t mIdleAppends = 0;
  backoff mIdleBackoff;
  bool mHasIdleAppendFailed = false;
};

}

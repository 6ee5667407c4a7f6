#pragma once

#include <LibCore/InvalidInput.h>
#include <LibGateway/AdmitRequest.h>
#include <LibGateway/AnswerRelay.h>
#include <LibGateway/JudgeAnswer.h>
#include <LibGateway/RefusalAnswer.h>
#include <LibGateway/RequestSender.h>
#include <LibGateway/RunEvents.h>
#include <LibGateway/RunLimits.h>
#include <LibGateway/ServerAttempt.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace lycheeseam {

/// One request of a caller: from its route and its workspace over one or more
/// attempts to one final answer. Runs on the traffic thread.
///
/// Caller has SendHead(answer_head, body_framing), SendPiece(string_view),
/// SendEnd(), SendWhole(answer_head, string), Abort() and IsCongested(). A
/// congested caller calls OnDrained once it has taken what it was sent.
template<gateway_dialect Dialect, typename Caller>
class request_run
  : public std::enable_shared_from_this<request_run<Dialect, Caller>>
{
public:
  request_run(boost::asio::io_context& aContext,
              traffic_core& aCore,
              std::shared_ptr<Caller> aCaller,
              request_head aHead,
              std::string aBody)
    : mContext(aContext)
    , mCore(aCore)
    , mCaller(std::move(aCaller))
    , mSender(aCore, std::move(aHead), std::move(aBody))
    , mTimer(aContext)
    , mTrace({ .mStartedAt = mClock.Now() })
    , mEvents(aCore.Meter(), mTrace, mRows)
    , mAttempt(aContext, aCore)
  {
  }

  /// Decides and sends, or refuses.
  void Start()
  {
    try {
      mSender.ReadProperties();
      mTrace.mRequest = mSender.Facts().mId;
    } catch (invalid_input const&) {
      return Refuse(refusal_status::BadRequest, {});
    }
    if (std::optional<request_refusal> const refusal = AdmitRequest(
          mCore, mTrace.mStartedAt, mSender.Facts(), mSender.Body(), mRows))
      return Refuse(refusal->mStatus, refusal->mRetryAfter);
    mCore.OnFirstAttempt(mRows.mPool);
    ArmDeadline();
    Attempt();
  }

  /// The caller has gone.
  void Cancel()
  {
    if (mIsDone)
      return;
    mAttempt.End();
    Settle();
  }

  /// The caller has taken what it was sent.
  void OnDrained()
  {
    if (std::exchange(mWaitsForCaller, false))
      mAttempt.ReadOn();
  }

  answer_use OnExchangeHead(answer_head const& aHead)
  {
    server_answer const answer = Dialect::ReadAnswer(aHead);
    if (answer.mRequest && *answer.mRequest != mTrace.mRequest)
      return answer_use::Skip;
    mCore.OnAnswer(
      mClock.Now(), mAttempt.Server(), mSender.Facts().mModel, answer);
    bool const isReplaceable =
      !aHead.IsSuccess() && (mAnswer.IsHeadSent() || MayRepeatNow());
    mAttempt.SetOutcome(JudgeAnswer(aHead, answer, isReplaceable));
    bool const isStream = mRows.mRoute->mKind == request_kind::Stream;
    if (mAttempt.Outcome() == attempt_outcome::Taken)
      mAnswer.Begin(*mCaller, aHead, isStream && aHead.IsSuccess());
    return answer_use::Take;
  }

  void OnExchangePiece(std::string_view aPiece)
  {
    if (mAttempt.Outcome() != attempt_outcome::Taken)
      return mAttempt.ReadOn();
    if (!mTrace.mFirstAt)
      mTrace.mFirstAt = mClock.Now();
    mAnswer.Take(*mCaller, aPiece);
    if (!mAttempt.IsOpen())
      return;
    mWaitsForCaller = mCaller->IsCongested();
    if (!mWaitsForCaller)
      mAttempt.ReadOn();
  }

  void OnExchangeEnd(exchange_end aEnd)
  {
    if (mIsDone)
      return;
    if (!mAttempt.IsSent())
      return OnUnreachable(aEnd);
    switch (mAttempt.Outcome()) {
      case attempt_outcome::NotRun:
        NoteEnd("not_run");
        return SendElsewhere();
      case attempt_outcome::Failed:
        return OnFailed();
      case attempt_outcome::Taken:
        return aEnd == exchange_end::Complete ? Finish() : OnLost(aEnd);
      case attempt_outcome::Spoiled:
      case attempt_outcome::Open:
        return OnLost(aEnd);
    }
  }

private:
  using error_code = boost::system::error_code;

  static constexpr std::chrono::milliseconds kShortWait{ 200 };
  // How often a place is looked for while none is free.
  static constexpr std::chrono::milliseconds kPlaceInterval{ 15 };

  void ArmDeadline()
  {
    mTimer.expires_after(mRows.mDeadline - mTrace.mStartedAt);
    mTimer.async_wait([self = this->shared_from_this()](error_code aFault) {
      if (!aFault)
        self->OnDeadline();
    });
  }

  void OnDeadline()
  {
    if (mIsDone)
      return;
    bool const mayHaveRun = mTrace.mMayHaveRun || mAttempt.IsSent();
    mAttempt.End();
    EndWith(mayHaveRun ? refusal_status::Timeout : refusal_status::NotReady,
            kShortWait);
  }

  void Attempt()
  {
    if (mIsDone)
      return;
    instant const now = mClock.Now();
    if (IsTooLate(mRows, now))
      return OnDeadline();
    server_pick const pick = mSender.Pick(now, mRows.mPool);
    if (!pick.mServer)
      return WaitForPlace(now);
    if (mTrace.mSends > 0 && !mCore.TryRepeat(now, mRows.mPool))
      return GiveUp();
    mAttempt.Begin(pick.mServer,
                   mSender.Prepare(pick, mRows, mTrace, mAnswer.LastEvent()),
                   this->shared_from_this());
  }

  void WaitForPlace(instant aNow)
  {
    if (!MayWaitForPlace(mRows, mTrace, aNow))
      return GiveUp();
    std::shared_ptr<boost::asio::steady_timer> const wait =
      std::make_shared<boost::asio::steady_timer>(mContext, kPlaceInterval);
    wait->async_wait(
      [self = this->shared_from_this(), wait](error_code) { self->Attempt(); });
  }

  void OnUnreachable(exchange_end aEnd)
  {
    mAttempt.OnUnreachable(mClock.Now());
    NoteEnd(aEnd == exchange_end::Refused ? "connection_refused"
                                          : "not_connected");
    SendElsewhere();
  }

  // No server has run the request.
  void SendElsewhere()
  {
    mAttempt.End();
    if (!MaySendElsewhere(mRows, mTrace))
      return GiveUp();
    Attempt();
  }

  /// The answer broke: the request may have run.
  void OnLost(exchange_end aEnd)
  {
    instant const now = mClock.Now();
    mAttempt.OnLost(now, aEnd);
    mCore.OnCrash(now, mRows.mFingerprint);
    mTrace.mMayHaveRun = true;
    NoteEnd(aEnd == exchange_end::Silent ? "silent" : "broken");
    bool const mayTry =
      mAnswer.CanGoOn(mRows.mRoute->mIsResumable) && MayRepeatNow();
    mAttempt.End();
    mAnswer.DropRest();
    if (mayTry && !mCore.Crashes().IsPoison(now, mRows.mFingerprint))
      return Attempt();
    EndWith(refusal_status::BadGateway, {});
  }

  /// The server's own failure: it has run.
  void OnFailed()
  {
    NoteEnd("failed");
    mTrace.mMayHaveRun = true;
    mAttempt.End();
    if (!MayRepeatNow())
      return GiveUp();
    Attempt();
  }

  [[nodiscard]] bool MayRepeatNow() const
  {
    return MayRepeat(mRows, mTrace, mClock.Now());
  }

  void GiveUp()
  {
    EndWith(mTrace.mMayHaveRun ? refusal_status::BadGateway
                               : refusal_status::NotReady,
            kShortWait);
  }

  // Refuses, or breaks off an answer that has begun.
  void EndWith(refusal_status aStatus, std::chrono::milliseconds aRetryAfter)
  {
    if (mAnswer.IsHeadSent())
      return Settle()->Abort();
    Refuse(aStatus, aRetryAfter);
  }

  void Finish()
  {
    mCore.Crashes().OnAnswer(mRows.mFingerprint);
    mAttempt.OnAnswered(mClock.Now());
    mAttempt.End();
    mEvents.OnAnswer(
      mClock.Now(), mAttempt.Server().mRegistered.mId, mAnswer.Status());
    mAnswer.Finish(*Settle());
  }

  void NoteEnd(std::string_view aCause)
  {
    mEvents.OnAttemptEnd(
      mClock.Now(), mAttempt.Server().mRegistered.mId, aCause);
  }

  // Nothing comes after the caller's final answer, or after it has gone.
  std::shared_ptr<Caller> Settle()
  {
    mIsDone = true;
    mTimer.cancel();
    return std::move(mCaller);
  }

  void Refuse(refusal_status aStatus, std::chrono::milliseconds aRetryAfter)
  {
    mEvents.OnRefusal(mClock.Now(),
                      { .mStatus = aStatus, .mRetryAfter = aRetryAfter });
    // Only this one promises that nothing has run.
    if (aStatus == refusal_status::NotReady && mRows.mWorkspace != nullptr &&
        mRows.mUnits > 0)
      mCore.Quota().Refund(mClock.Now(), mRows.mWorkspace->mName, mRows.mUnits);
    Settle()->SendWhole(RefusalHead(aStatus, aRetryAfter), {});
  }

  boost::asio::io_context& mContext;
  traffic_core& mCore;
  /// Null once the request has its final answer.
  std::shared_ptr<Caller> mCaller;
  request_sender<Dialect> mSender;
  boost::asio::steady_timer mTimer;
  system_clock mClock;
  run_trace mTrace;
  admitted_request mRows;
  run_events mEvents;
  server_attempt<request_run> mAttempt;
  answer_relay mAnswer;
  bool mWaitsForCaller = false;
  bool mIsDone = false;
};

}

#pragma once

#include <LibCore/InvalidInput.h>
#include <LibGateway/AdmitRequest.h>
#include <LibGateway/AttemptEndCause.h>
#include <LibGateway/CallerAnswer.h>
#include <LibGateway/IsEventStream.h>
#include <LibGateway/JudgeAnswer.h>
#include <LibGateway/RequestSender.h>
#include <LibGateway/RetryAfter.h>
#include <LibGateway/RunAfter.h>
#include <LibGateway/RunEvents.h>
#include <LibGateway/RunLimits.h>
#include <LibGateway/ServerAttempt.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace lycheeseam {

/// Runs one request of a caller: finds its route and workspace, sends it in one
/// or more attempts, and gives it one final answer. Runs on the traffic thread.
///
/// Caller is the one that caller_answer describes. A congested caller calls
/// OnDrained once all that it was sent is written.
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
    , mSender(aCore, std::move(aHead), std::move(aBody))
    , mTimer(aContext)
    , mTrace({ .mStartedAt = mClock.Now() })
    , mEvents(aCore.Meter(), mTrace, mAdmitted)
    , mAttempt(aContext, aCore)
    , mAnswer(std::move(aCaller))
  {
  }

  /// Admits the request and begins its first attempt, or refuses it.
  void Start()
  {
    try {
      mSender.ReadProperties();
      mTrace.mRequest = mSender.Properties().mId;
      mTrace.mSharedParts = mSender.Properties().SharedPartIds();
    } catch (invalid_input const&) {
      return Refuse(refusal_status::BadRequest, {});
    }
    if (std::optional<request_refusal> const refusal =
          AdmitRequest(mCore,
                       mTrace.mStartedAt,
                       mSender.Properties(),
                       mSender.Body(),
                       mAdmitted))
      return Refuse(refusal->mStatus, refusal->mRetryAfter);
    mCore.OnFirstAttempt(mAdmitted.mPool);
    ArmDeadline();
    Attempt();
  }

  /// Ends the request because its caller disconnected.
  void Cancel()
  {
    if (mAnswer.IsDone())
      return;
    mAttempt.End();
    mTimer.cancel();
    mAnswer.Drop();
  }

  /// Gives the request its final answer now: its time limit, or the stop time
  /// of the instance, is over.
  void EndNow()
  {
    if (mAnswer.IsDone())
      return;
    bool const mayHaveRun = mTrace.MayHaveRun() || mAttempt.IsSent();
    mAttempt.End();
    EndWithRefusal(mayHaveRun ? refusal_status::Timeout
                              : refusal_status::NotReady,
                   kRetryAfter);
  }

  /// Continues a paused answer: all that the caller was sent is written.
  void OnDrained()
  {
    if (mAnswer.Resume())
      mAttempt.ReadNext();
  }

  answer_use OnExchangeHead(answer_head const& aHead)
  {
    server_answer const answer = Dialect::ReadAnswer(aHead);
    if (answer.mRequest && *answer.mRequest != mTrace.mRequest)
      return answer_use::Skip;
    if (mAttempt.MayBeOfEarlierRequest(answer))
      return answer_use::Reject;
    mTrace.mStatus = aHead.mStatus;
    mAttempt.OnHead(aHead.mStatus);
    mCore.OnAnswer(
      mClock.Now(), mAttempt.Server(), mSender.Properties().mModel, answer);
    bool const isReplaceable =
      !aHead.IsSuccess() &&
      (mAnswer.Relay().IsHeadSent() ||
       MayRetry(mAdmitted, mTrace.mRuns + 1, mClock.Now()));
    mAttempt.SetOutcome(JudgeAnswer(aHead, answer, isReplaceable));
    if (mAttempt.Outcome() == attempt_outcome::Accepted)
      mAnswer.Begin(aHead, IsEventStream(*mAdmitted.mRoute, aHead));
    return UseOfAnswer(mAttempt.Outcome());
  }

  void OnExchangePiece(std::string_view aPiece)
  {
    instant const now = mClock.Now();
    mTrace.mFirstPieceAt = mTrace.mFirstPieceAt.value_or(now);
    mAttempt.OnPiece(now);
    mAnswer.RelayPiece(aPiece);
    if (!mAttempt.IsOpen())
      return;
    if (mAnswer.Relay().IsEventTooLarge())
      return OnExchangeEnd(exchange_end::Broken);
    if (!mAnswer.Pause())
      mAttempt.ReadNext();
  }

  void OnExchangeEnd(exchange_end aEnd)
  {
    if (mAnswer.IsDone())
      return;
    if (!mAttempt.IsSent())
      return OnUnreachable(aEnd);
    ++mTrace.mArrivals;
    switch (mAttempt.Outcome()) {
      case attempt_outcome::NotRun:
        ReportAttemptEnd("not_run");
        return TryAnotherServer();
      case attempt_outcome::Failed:
        return OnFailed();
      case attempt_outcome::Accepted:
        if (mAnswer.Relay().IsComplete(aEnd))
          return Finish();
        break;
      case attempt_outcome::Invalid:
      case attempt_outcome::Pending:
        break;
    }
    OnAnswerBroken(aEnd);
  }

private:
  void ArmDeadline()
  {
    mTimer.expires_after(mAdmitted.mDeadline - mTrace.mStartedAt);
    mTimer.async_wait(
      [self = this->shared_from_this()](boost::system::error_code aFault) {
        if (!aFault)
          self->EndNow();
      });
  }

  void Attempt()
  {
    if (mAnswer.IsDone())
      return;
    instant const now = mClock.Now();
    if (IsTooLate(mAdmitted, now))
      return EndNow();
    if (!mAdmitted.mIsTrial && IsPoison(mCore, now, mAdmitted))
      return GiveUp(kPoisonRetryAfter);
    server_pick const pick = mSender.Pick(now, mAdmitted, mAnswer.Relay());
    if (!pick.mServer)
      return WaitForCapacity(now, pick);
    // Until the request has reached a server, nothing is retried.
    if (mTrace.mArrivals > 0 && !mCore.TrySpendRetry(now, mAdmitted.mPool))
      return GiveUp();
    mAttempt.Begin(
      now,
      pick.mServer,
      mSender.Prepare(pick, mAdmitted, mTrace, mAnswer.Relay().LastEventId()),
      this->shared_from_this());
  }

  void WaitForCapacity(instant aNow, server_pick const& aPick)
  {
    instant const freeAt = aPick.mSendAt.value_or(aNow);
    if (!MayWaitForCapacity(mAdmitted, mTrace, freeAt))
      return GiveUp(RetryAfter(aPick));
    RunAfter(mContext,
             kCapacityCheckInterval,
             [self = this->shared_from_this()]() { self->Attempt(); });
  }

  void OnUnreachable(exchange_end aEnd)
  {
    mAttempt.OnUnreachable(mClock.Now(), aEnd);
    ReportAttemptEnd(ConnectFailureCause(aEnd));
    TryAnotherServer();
  }

  // Continues after an attempt in which no server ran the request.
  void TryAnotherServer()
  {
    mAttempt.End();
    return MayTryAnotherServer(mAdmitted, mTrace) ? Attempt() : GiveUp();
  }

  // The answer broke off or is not a server's; a server may have run the
  // request.
  void OnAnswerBroken(exchange_end aEnd)
  {
    instant const now = mClock.Now();
    mAttempt.OnConnectionLost(now, aEnd);
    mCore.OnCrash(now, mAdmitted.mFingerprint);
    ++mTrace.mRuns;
    ReportAttemptEnd(LossCause(aEnd));
    bool const mayTry =
      mAnswer.Relay().CanContinue(mAdmitted.mRoute->mIsResumable) &&
      MayRetry(mAdmitted, mTrace.mRuns, now);
    mAttempt.End();
    mAnswer.DiscardUnsent();
    if (mayTry && !IsPoison(mCore, now, mAdmitted))
      return Attempt();
    EndWithRefusal(refusal_status::BadGateway, {});
  }

  // The server reported its own failure: it has run the request.
  void OnFailed()
  {
    ReportAttemptEnd("failed");
    ++mTrace.mRuns;
    mAttempt.End();
    return MayRetry(mAdmitted, mTrace.mRuns, mClock.Now()) ? Attempt()
                                                           : GiveUp();
  }

  void GiveUp(std::chrono::milliseconds aRetryAfter = kRetryAfter)
  {
    EndWithRefusal(mTrace.MayHaveRun() ? refusal_status::BadGateway
                                       : refusal_status::NotReady,
                   aRetryAfter);
  }

  // Refuses the request, or aborts an answer that has begun.
  void EndWithRefusal(refusal_status aStatus,
                      std::chrono::milliseconds aRetryAfter)
  {
    if (!mAnswer.Relay().IsHeadSent())
      return Refuse(aStatus, aRetryAfter);
    mTimer.cancel();
    mAnswer.Abort();
  }

  void Finish()
  {
    mCore.Crashes().OnAnswer(mAdmitted.mFingerprint);
    mAttempt.OnAnswering(mClock.Now());
    mAttempt.OnComplete();
    mAttempt.End();
    mEvents.OnAnswer(
      mClock.Now(), mAttempt.ServerId(), mAnswer.Relay().Status());
    mTimer.cancel();
    mAnswer.Finish();
  }

  void ReportAttemptEnd(std::string_view aCause)
  {
    mEvents.OnAttemptEnd(mClock.Now(), mAttempt.ServerId(), aCause);
  }

  void Refuse(refusal_status aStatus, std::chrono::milliseconds aRetryAfter)
  {
    mEvents.OnRefusal(mClock.Now(),
                      { .mStatus = aStatus, .mRetryAfter = aRetryAfter });
    Refund(mCore, mClock.Now(), mAdmitted, aStatus);
    mTimer.cancel();
    mAnswer.Refuse(aStatus, aRetryAfter);
  }

  boost::asio::io_context& mContext;
  traffic_core& mCore;
  request_sender<Dialect> mSender;
  boost::asio::steady_timer mTimer;
  system_clock mClock;
  run_trace mTrace;
  admitted_request mAdmitted;
  run_events mEvents;
  server_attempt<request_run> mAttempt;
  caller_answer<Caller> mAnswer;
};

}

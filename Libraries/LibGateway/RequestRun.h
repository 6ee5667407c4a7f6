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

/// Runs one request of a caller: finds its route and workspace, sends it in one
/// or more attempts, and gives it one final answer. Runs on the traffic thread.
///
/// Caller has SendHead(answer_head, body_framing), SendPiece(string_view),
/// SendEnd(), SendCompleteAnswer(answer_head, string), Abort() and
/// IsCongested(). A congested caller calls OnDrained once all that it was sent
/// is written.
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
    , mEvents(aCore.Meter(), mTrace, mAdmitted)
    , mAttempt(aContext, aCore)
  {
  }

  /// Admits the request and begins its first attempt, or refuses it.
  void Start()
  {
    try {
      mSender.ReadProperties();
      mTrace.mRequest = mSender.Properties().mId;
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
    if (mIsDone)
      return;
    mAttempt.End();
    MarkDone();
  }

  /// Gives the request its final answer now, because the instance stops.
  void EndNow() { OnDeadline(); }

  /// Continues a paused answer: all that the caller was sent is written.
  void OnDrained()
  {
    if (std::exchange(mWaitsForCaller, false))
      mAttempt.ReadNext();
  }

  answer_use OnExchangeHead(answer_head const& aHead)
  {
    server_answer const answer = Dialect::ReadAnswer(aHead);
    if (answer.mRequest && *answer.mRequest != mTrace.mRequest)
      return answer_use::Skip;
    if (IsUnidentified(answer))
      return answer_use::Reject;
    mTrace.mStatus = aHead.mStatus;
    mCore.OnAnswer(
      mClock.Now(), mAttempt.Server(), mSender.Properties().mModel, answer);
    bool const isReplaceable =
      !aHead.IsSuccess() &&
      (mAnswer.IsHeadSent() ||
       MayRetry(mAdmitted, mTrace.mRuns + 1, mClock.Now()));
    mAttempt.SetOutcome(JudgeAnswer(aHead, answer, isReplaceable));
    return UseAnswer(aHead);
  }

  void OnExchangePiece(std::string_view aPiece)
  {
    if (!mTrace.mFirstPieceAt) {
      mTrace.mFirstPieceAt = mClock.Now();
      mAttempt.OnPromptRead(*mTrace.mFirstPieceAt);
    }
    mAnswer.RelayPiece(*mCaller, aPiece);
    if (!mAttempt.IsOpen())
      return;
    if (mAnswer.IsEventTooLarge())
      return OnAnswerBroken(exchange_end::Broken);
    mWaitsForCaller = mCaller->IsCongested();
    if (!mWaitsForCaller)
      mAttempt.ReadNext();
  }

  void OnExchangeEnd(exchange_end aEnd)
  {
    if (mIsDone)
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
        return aEnd == exchange_end::Complete ? Finish() : OnAnswerBroken(aEnd);
      case attempt_outcome::Invalid:
      case attempt_outcome::Pending:
        return OnAnswerBroken(aEnd);
    }
  }

private:
  using error_code = boost::system::error_code;

  // How long a refused caller should wait before another try.
  static constexpr std::chrono::milliseconds kRetryAfter{ 200 };
  // How often the request looks for a server with free capacity.
  static constexpr std::chrono::milliseconds kCapacityCheckInterval{ 15 };

  // A late copy of an earlier answer carries the id of its own request. On a
  // connection that was used before, an answer without an id may be one as
  // well.
  [[nodiscard]] bool IsUnidentified(server_answer const& aAnswer) const
  {
    return !aAnswer.mRequest && mAttempt.IsOnReusedConnection();
  }

  answer_use UseAnswer(answer_head const& aHead)
  {
    switch (mAttempt.Outcome()) {
      case attempt_outcome::Accepted:
        mAnswer.Begin(*mCaller,
                      aHead,
                      mAdmitted.mRoute->mKind == request_kind::Stream &&
                        aHead.IsSuccess());
        return answer_use::Accept;
      case attempt_outcome::NotRun:
      case attempt_outcome::Failed:
        return answer_use::Discard;
      case attempt_outcome::Invalid:
      case attempt_outcome::Pending:
        return answer_use::Reject;
    }
    return answer_use::Reject;
  }

  void ArmDeadline()
  {
    mTimer.expires_after(mAdmitted.mDeadline - mTrace.mStartedAt);
    mTimer.async_wait([self = this->shared_from_this()](error_code aFault) {
      if (!aFault)
        self->OnDeadline();
    });
  }

  void OnDeadline()
  {
    if (mIsDone)
      return;
    bool const mayHaveRun = mTrace.MayHaveRun() || mAttempt.IsSent();
    mAttempt.End();
    EndWithRefusal(mayHaveRun ? refusal_status::Timeout
                              : refusal_status::NotReady,
                   kRetryAfter);
  }

  void Attempt()
  {
    if (mIsDone)
      return;
    instant const now = mClock.Now();
    if (IsTooLate(mAdmitted, now))
      return OnDeadline();
    server_pick const pick = mSender.Pick(now, mAdmitted.mPool);
    if (!pick.mServer)
      return WaitForCapacity(now);
    // Until the request has reached a server, nothing is retried.
    if (mTrace.mArrivals > 0 && !mCore.TrySpendRetry(now, mAdmitted.mPool))
      return GiveUp();
    mAttempt.Begin(
      pick.mServer,
      mSender.Prepare(pick, mAdmitted, mTrace, mAnswer.LastEventId()),
      this->shared_from_this());
  }

  void WaitForCapacity(instant aNow)
  {
    if (!MayWaitForCapacity(mAdmitted, mTrace, aNow))
      return GiveUp();
    std::shared_ptr<boost::asio::steady_timer> const wait =
      std::make_shared<boost::asio::steady_timer>(mContext,
                                                  kCapacityCheckInterval);
    wait->async_wait(
      [self = this->shared_from_this(), wait](error_code) { self->Attempt(); });
  }

  void OnUnreachable(exchange_end aEnd)
  {
    mAttempt.OnUnreachable(mClock.Now());
    ReportAttemptEnd(aEnd == exchange_end::Refused ? "connection_refused"
                                                   : "not_connected");
    TryAnotherServer();
  }

  // Continues after an attempt in which no server ran the request.
  void TryAnotherServer()
  {
    mAttempt.End();
    if (!MayTryAnotherServer(mAdmitted, mTrace))
      return GiveUp();
    Attempt();
  }

  // The answer broke off or is not a server's; a server may have run the
  // request.
  void OnAnswerBroken(exchange_end aEnd)
  {
    instant const now = mClock.Now();
    mAttempt.OnConnectionLost(now, aEnd);
    mCore.OnCrash(now, mAdmitted.mFingerprint);
    ++mTrace.mRuns;
    ReportAttemptEnd(aEnd == exchange_end::Unresponsive ? "silent" : "broken");
    bool const mayTry =
      mAnswer.CanContinue(mAdmitted.mRoute->mIsResumable) && MayRetryNow();
    mAttempt.End();
    mAnswer.DiscardUnsent();
    if (mayTry && !mCore.Crashes().IsPoison(now, mAdmitted.mFingerprint))
      return Attempt();
    EndWithRefusal(refusal_status::BadGateway, {});
  }

  // The server reported its own failure: it has run the request.
  void OnFailed()
  {
    ReportAttemptEnd("failed");
    ++mTrace.mRuns;
    mAttempt.End();
    if (!MayRetryNow())
      return GiveUp();
    Attempt();
  }

  [[nodiscard]] bool MayRetryNow() const
  {
    return MayRetry(mAdmitted, mTrace.mRuns, mClock.Now());
  }

  void GiveUp()
  {
    EndWithRefusal(mTrace.MayHaveRun() ? refusal_status::BadGateway
                                       : refusal_status::NotReady,
                   kRetryAfter);
  }

  // Refuses the request, or aborts an answer that has begun.
  void EndWithRefusal(refusal_status aStatus,
                      std::chrono::milliseconds aRetryAfter)
  {
    if (mAnswer.IsHeadSent())
      return MarkDone()->Abort();
    Refuse(aStatus, aRetryAfter);
  }

  void Finish()
  {
    mCore.Crashes().OnAnswer(mAdmitted.mFingerprint);
    mAttempt.End();
    mEvents.OnAnswer(
      mClock.Now(), mAttempt.Server().mRegistered.mId, mAnswer.Status());
    mAnswer.Finish(*MarkDone());
  }

  void ReportAttemptEnd(std::string_view aCause)
  {
    mEvents.OnAttemptEnd(
      mClock.Now(), mAttempt.Server().mRegistered.mId, aCause);
  }

  // Marks the request as done and returns its caller: nothing follows the final
  // answer or a disconnect of the caller.
  std::shared_ptr<Caller> MarkDone()
  {
    mIsDone = true;
    mTimer.cancel();
    return std::move(mCaller);
  }

  void Refuse(refusal_status aStatus, std::chrono::milliseconds aRetryAfter)
  {
    mEvents.OnRefusal(mClock.Now(),
                      { .mStatus = aStatus, .mRetryAfter = aRetryAfter });
    // Of the refusals after a charge, only NotReady promises that the request
    // has not run.
    if (aStatus == refusal_status::NotReady &&
        mAdmitted.mWorkspace != nullptr && mAdmitted.mUnits > 0)
      mCore.Quota().Refund(
        mClock.Now(), mAdmitted.mWorkspace->mName, mAdmitted.mUnits);
    MarkDone()->SendCompleteAnswer(RefusalHead(aStatus, aRetryAfter), {});
  }

  boost::asio::io_context& mContext;
  traffic_core& mCore;
  /// Null once the request has its final answer.
  std::shared_ptr<Caller> mCaller;
  request_sender<Dialect> mSender;
  boost::asio::steady_timer mTimer;
  system_clock mClock;
  run_trace mTrace;
  admitted_request mAdmitted;
  run_events mEvents;
  server_attempt<request_run> mAttempt;
  answer_relay mAnswer;
  bool mWaitsForCaller = false;
  bool mIsDone = false;
};

}

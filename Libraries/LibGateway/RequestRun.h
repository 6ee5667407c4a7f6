#pragma once

#include <LibCore/InvalidInput.h>
#include <LibDispatch/ChooseServer.h>
#include <LibGateway/AdmitRequest.h>
#include <LibGateway/AnswerRelay.h>
#include <LibGateway/GatewayDialect.h>
#include <LibGateway/PlanSend.h>
#include <LibGateway/RefusalAnswer.h>
#include <LibGateway/RunEvents.h>
#include <LibGateway/ServerAttempt.h>
#include <LibHttp/FormatHead.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

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
    , mHead(std::move(aHead))
    , mBody(std::make_shared<std::string const>(std::move(aBody)))
    , mTimer(aContext)
    , mTrace({ .mStartedAt = mClock.Now() })
    , mAttempt(aContext, aCore)
  {
  }

  /// Decides and sends, or refuses.
  void Start()
  {
    try {
      mFacts = Dialect::ReadFacts(mHead);
      mTrace.mRequest = mFacts.mId;
    } catch (invalid_input const&) {
      return Refuse(refusal_status::BadRequest, {});
    }
    if (std::optional<request_refusal> const refusal =
          AdmitRequest(mCore, mTrace.mStartedAt, mFacts, *mBody, mRows))
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
    mIsDone = true;
    mTimer.cancel();
    mAttempt.End();
    mCaller.reset();
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
    if (answer.mRequest && *answer.mRequest != mFacts.mId)
      return answer_use::Skip;
    mCore.OnAnswer(mClock.Now(), mAttempt.Server(), mFacts.mModel, answer);
    if (answer.mIsNotRun || answer.mIsMisdirected)
      mAttempt.SetOutcome(attempt_outcome::NotRun);
    else if (aHead.IsSuccess() && !answer.mIsSigned)
      mAttempt.SetOutcome(attempt_outcome::Spoiled);
    else if (!aHead.IsSuccess() && (mAnswer.IsHeadSent() || MayTryElsewhere()))
      mAttempt.SetOutcome(attempt_outcome::Failed);
    else
      Begin(aHead);
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
    if (mCaller->IsCongested())
      mWaitsForCaller = true;
    else
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
        return OnNotRun();
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
  static constexpr std::chrono::milliseconds kShortWait{ 200 };
  // How often a place is looked for while none is free.
  static constexpr std::chrono::milliseconds kPlaceInterval{ 15 };
  // Waiting for a place is free of harm up to this part of the target.
  static constexpr int kPlaceWaitPart = 8;
  // An attempt that gets less time than this can't succeed.
  static constexpr std::chrono::milliseconds kLeastTime{ 10 };
  // A request that no server has run may go to this many beyond its route's
  // attempts: servers that refuse it don't count as attempts.
  static constexpr std::uint32_t kExtraSends = 2;

  void ArmDeadline()
  {
    mTimer.expires_after(mRows.mDeadline - mTrace.mStartedAt);
    mTimer.async_wait([self = this->shared_from_this()](auto aFault) {
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
    if (mAnswer.IsHeadSent())
      return Break();
    Refuse(mayHaveRun ? refusal_status::Timeout : refusal_status::NotReady,
           kShortWait);
  }

  void Attempt()
  {
    if (mIsDone)
      return;
    instant const now = mClock.Now();
    std::shared_ptr<fleet_view const> const view = mCore.View(now);
    if (mRows.mDeadline - now < kLeastTime)
      return OnDeadline();
    server_choice_request const wanted =
      MakeChoiceRequest(now, mCore.Options(), *view, mFacts, mTried);
    std::span<served_server* const> const servers =
      mCore.Servers().Pool(mRows.mPool);
    served_server const* const chosen = ChooseServer(servers, wanted);
    if (chosen == nullptr)
      return WaitForPlace(now);
    if (mTrace.mSends > 0 && !mCore.TryRepeat(now, mRows.mPool))
      return GiveUp();
    Send(wanted, mCore.Servers().Find(chosen->mListed.mId));
  }

  void WaitForPlace(instant aNow)
  {
    if (aNow - mTrace.mStartedAt >
        mRows.mRoute->mTargetLatency / kPlaceWaitPart)
      return GiveUp();
    std::shared_ptr<boost::asio::steady_timer> const wait =
      std::make_shared<boost::asio::steady_timer>(mContext, kPlaceInterval);
    wait->async_wait(
      [self = this->shared_from_this(), wait](auto) { self->Attempt(); });
  }

  void Send(server_choice_request const& aWanted,
            std::shared_ptr<served_server> aServer)
  {
    mTried.push_back(aServer->mListed.mId);
    mCore.Meter().OnSend(mRows, mTrace.mSends > 0);
    ++mTrace.mSends;
    send_terms const terms =
      PlanSend(mCore, aWanted, *aServer, mRows, mFacts, mAnswer.LastEvent());
    mTrace.mFetchFrom = terms.mFetchFrom;
    mTrace.mPressure = aServer->Pressure(aWanted.mNow);
    request_head head = Dialect::ForwardedRequest(mHead, terms);
    if (!mBody->empty() || mHead.mMethod != "GET")
      head.mFields.push_back(
        { "Content-Length", std::to_string(mBody->size()) });
    mAttempt.Begin(std::move(aServer),
                   { .mHead = FormatRequestHead(head),
                     .mBody = mBody,
                     .mAnswerHasBody = mHead.mMethod != "HEAD",
                     .mTokens = RequestTokens(mFacts),
                     .mPart = PartRead(terms, mFacts) },
                   this->shared_from_this());
  }

  void Begin(answer_head const& aHead)
  {
    mAttempt.SetOutcome(attempt_outcome::Taken);
    mAnswer.Begin(*mCaller,
                  aHead,
                  mRows.mRoute->mKind == work_kind::Stream &&
                    aHead.IsSuccess());
  }

  void OnNotRun()
  {
    NoteEnd("not_run");
    SendElsewhere();
  }

  void OnUnreachable(exchange_end aEnd)
  {
    instant const now = mClock.Now();
    mAttempt.OnUnreachable(now);
    NoteEnd(aEnd == exchange_end::Refused ? "connection_refused"
                                          : "not_connected");
    SendElsewhere();
  }

  // No server has run the request.
  void SendElsewhere()
  {
    mAttempt.End();
    if (mTrace.mSends >= mRows.mRoute->mMaxAttempts + kExtraSends)
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
      mAnswer.CanGoOn(mRows.mRoute->mIsResumable) && MayTryElsewhere();
    mAttempt.End();
    mAnswer.DropRest();
    if (mayTry && !mCore.Crashes().IsPoison(now, mRows.mFingerprint))
      return Attempt();
    if (mAnswer.IsHeadSent())
      return Break();
    Refuse(refusal_status::BadGateway, {});
  }

  /// The server's own failure: it has run.
  void OnFailed()
  {
    NoteEnd("failed");
    mTrace.mMayHaveRun = true;
    mAttempt.End();
    if (!MayTryElsewhere())
      return GiveUp();
    Attempt();
  }

  [[nodiscard]] bool MayTryElsewhere() const
  {
    return mRows.mRoute->MayRepeat() &&
           mTrace.mSends < mRows.mRoute->mMaxAttempts &&
           mRows.mDeadline - mClock.Now() > kLeastTime;
  }

  void GiveUp()
  {
    if (mAnswer.IsHeadSent())
      return Break();
    Refuse(mTrace.mMayHaveRun ? refusal_status::BadGateway
                              : refusal_status::NotReady,
           kShortWait);
  }

  void Finish()
  {
    mCore.Crashes().OnAnswer(mRows.mFingerprint);
    mAttempt.OnAnswered(mClock.Now());
    mAttempt.End();
    mIsDone = true;
    mTimer.cancel();
    NoteAnswer(mCore.Meter(),
               mClock.Now(),
               mTrace,
               mRows,
               mAttempt.Server().mListed.mId,
               mAnswer.Status());
    std::shared_ptr<Caller> const caller = std::move(mCaller);
    mAnswer.Finish(*caller);
  }

  void NoteEnd(std::string_view aCause) const
  {
    NoteAttemptEnd(mCore.Meter(),
                   mClock.Now(),
                   mTrace,
                   mRows,
                   mAttempt.Server().mListed.mId,
                   aCause);
  }

  void Break()
  {
    mIsDone = true;
    mTimer.cancel();
    std::shared_ptr<Caller> const caller = std::move(mCaller);
    caller->Abort();
  }

  void Refuse(refusal_status aStatus, std::chrono::milliseconds aRetryAfter)
  {
    mIsDone = true;
    mTimer.cancel();
    NoteRefusal(mCore.Meter(),
                mClock.Now(),
                mTrace,
                mRows,
                { .mStatus = aStatus, .mRetryAfter = aRetryAfter });
    bool const promisesNotRun = aStatus == refusal_status::NotReady;
    if (promisesNotRun && mRows.mWorkspace != nullptr && mRows.mUnits > 0)
      mCore.Quota().Refund(mClock.Now(), mRows.mWorkspace->mName, mRows.mUnits);
    std::shared_ptr<Caller> const caller = std::move(mCaller);
    caller->SendWhole(RefusalHead(aStatus, aRetryAfter), {});
  }

  boost::asio::io_context& mContext;
  traffic_core& mCore;
  /// Null once the request has its final answer.
  std::shared_ptr<Caller> mCaller;
  request_head mHead;
  std::shared_ptr<std::string const> mBody;
  boost::asio::steady_timer mTimer;
  system_clock mClock;
  run_trace mTrace;
  request_facts mFacts;
  admitted_request mRows;
  std::vector<backend_server_id> mTried;
  server_attempt<request_run> mAttempt;
  answer_relay mAnswer;
  bool mWaitsForCaller = false;
  bool mIsDone = false;
};

}

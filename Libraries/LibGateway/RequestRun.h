#pragma once

#include <LibCore/InvalidInput.h>
#include <LibDispatch/ChooseServer.h>
#include <LibEvents/EventLog.h>
#include <LibGateway/AdmitRequest.h>
#include <LibGateway/AnswerRelay.h>
#include <LibGateway/AttemptOutcome.h>
#include <LibGateway/GatewayDialect.h>
#include <LibGateway/PlanSend.h>
#include <LibGateway/RefusalAnswer.h>
#include <LibGateway/ServerExchange.h>
#include <LibGateway/TrafficCore.h>
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
    , mStartedAt(mClock.Now())
  {
  }

  /// Decides and sends, or refuses.
  void Start()
  {
    try {
      mFacts = Dialect::ReadFacts(mHead);
    } catch (invalid_input const&) {
      return Refuse(refusal_status::BadRequest, {});
    }
    if (std::optional<request_refusal> const refusal =
          AdmitRequest(mCore, mStartedAt, mFacts, *mBody, mRows))
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
    EndAttempt();
    mCaller.reset();
  }

  /// The caller has taken what it was sent.
  void OnDrained()
  {
    if (std::exchange(mWaitsForCaller, false) && mExchange)
      mExchange->ReadOn();
  }

  answer_use OnExchangeHead(answer_head const& aHead)
  {
    server_answer const answer = Dialect::ReadAnswer(aHead);
    if (answer.mRequest && *answer.mRequest != mFacts.mId)
      return answer_use::Skip;
    NoteAnswer(answer);
    if (answer.mIsNotRun || answer.mIsMisdirected)
      mOutcome = attempt_outcome::NotRun;
    else if (aHead.IsSuccess() && !answer.mIsSigned)
      mOutcome = attempt_outcome::Spoiled;
    else if (!aHead.IsSuccess() && (mAnswer.IsHeadSent() || MayTryElsewhere()))
      mOutcome = attempt_outcome::Failed;
    else
      Begin(aHead);
    return answer_use::Take;
  }

  void OnExchangePiece(std::string_view aPiece)
  {
    if (mOutcome != attempt_outcome::Taken)
      return mExchange->ReadOn();
    if (mFirstAt == instant{})
      mFirstAt = mClock.Now();
    mAnswer.Take(*mCaller, aPiece);
    if (!mExchange)
      return;
    if (mCaller->IsCongested())
      mWaitsForCaller = true;
    else
      mExchange->ReadOn();
  }

  void OnExchangeEnd(exchange_end aEnd)
  {
    if (mIsDone)
      return;
    if (!mExchange->IsSent())
      return OnUnreachable(aEnd);
    switch (mOutcome) {
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
  using exchange = server_exchange<request_run>;

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
    mTimer.expires_after(mRows.mDeadline - mStartedAt);
    mTimer.async_wait([self = this->shared_from_this()](auto aFault) {
      if (!aFault)
        self->OnDeadline();
    });
  }

  void OnDeadline()
  {
    if (mIsDone)
      return;
    bool const mayHaveRun = mMayHaveRun || (mExchange && mExchange->IsSent());
    EndAttempt();
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
    if (mSends > 0 && !mCore.TryRepeat(now, mRows.mPool))
      return GiveUp();
    Send(now, wanted, mCore.Servers().Find(chosen->mListed.mId));
  }

  void WaitForPlace(instant aNow)
  {
    if (aNow - mStartedAt > mRows.mRoute->mTargetLatency / kPlaceWaitPart)
      return GiveUp();
    auto const wait =
      std::make_shared<boost::asio::steady_timer>(mContext, kPlaceInterval);
    wait->async_wait(
      [self = this->shared_from_this(), wait](auto) { self->Attempt(); });
  }

  void Send(instant aNow,
            server_choice_request const& aWanted,
            std::shared_ptr<served_server> aServer)
  {
    mServer = std::move(aServer);
    mTried.push_back(mServer->mListed.mId);
    ++mSends;
    send_terms terms =
      PlanSend(mCore, aWanted, *mServer, mRows.mWorkspace, mFacts);
    terms.mTimeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(
      mRows.mDeadline - aNow);
    terms.mPriority = RequestPriority(*mRows.mRoute, mRows.mWorkspace);
    terms.mLastEvent =
      mAnswer.LastEvent() ? mAnswer.LastEvent() : mFacts.mLastEvent;
    mCacheKey = CacheKey(terms, mFacts);
    mIsStored = terms.mSaveTo.has_value();
    mFetchFrom = terms.mFetchFrom;
    mPressure = mServer->Pressure(aNow);
    mServer->OnStart(RequestTokens(mFacts));
    mOutcome = attempt_outcome::Open;
    mExchange = std::make_shared<exchange>(
      mContext, mCore.Channels(), mServer, this->shared_from_this());
    request_head head = Dialect::ForwardedRequest(mHead, terms);
    if (!mBody->empty() || mHead.mMethod != "GET")
      head.mFields.push_back(
        { "Content-Length", std::to_string(mBody->size()) });
    mExchange->Start(FormatRequestHead(head), mBody, mHead.mMethod != "HEAD");
  }

  void Begin(answer_head const& aHead)
  {
    mOutcome = attempt_outcome::Taken;
    mAnswer.Begin(*mCaller,
                  aHead,
                  mRows.mRoute->mKind == work_kind::Stream &&
                    aHead.IsSuccess());
  }

  void NoteAnswer(server_answer const& aAnswer)
  {
    instant const now = mClock.Now();
    mServer->mBreaker.OnSuccess();
    if (aAnswer.mIsMisdirected && aAnswer.mServer &&
        *aAnswer.mServer != mServer->mListed.mId)
      mCore.OnAbsent(*mServer);
    if (aAnswer.mLoad) {
      mServer->mLoad = aAnswer.mLoad;
      mServer->mLoad->mToldAt = now;
      mServer->mInFlightAtLoad = mServer->mInFlight;
    }
    if (aAnswer.mVersion)
      mCore.OnWeights(*mServer, mFacts.mModel, *aAnswer.mVersion);
  }

  void OnNotRun()
  {
    LogAttemptEnd("not_run");
    SendElsewhere();
  }

  void OnUnreachable(exchange_end aEnd)
  {
    instant const now = mClock.Now();
    mServer->mBreaker.OnAbsence(now);
    mCore.Channels().Forget(mServer->mListed.mId);
    LogAttemptEnd(aEnd == exchange_end::Refused ? "connection_refused"
                                                : "not_connected");
    SendElsewhere();
  }

  // No server has run the request.
  void SendElsewhere()
  {
    EndAttempt();
    if (mSends >= mRows.mRoute->mMaxAttempts + kExtraSends)
      return GiveUp();
    Attempt();
  }

  /// The answer broke: the request may have run.
  void OnLost(exchange_end aEnd)
  {
    instant const now = mClock.Now();
    if (aEnd == exchange_end::Silent)
      mServer->mBreaker.OnAbsence(now);
    else
      mServer->mBreaker.OnFailure(now);
    // Kept connections to it may be as dead as this one; a new one shows at
    // once whether it lives, before anything is sent.
    mCore.Channels().Forget(mServer->mListed.mId);
    mCore.OnCrash(now, mRows.mFingerprint);
    mMayHaveRun = true;
    LogAttemptEnd(aEnd == exchange_end::Silent ? "silent" : "broken");
    bool const mayTry =
      mAnswer.CanGoOn(mRows.mRoute->mIsResumable) && MayTryElsewhere();
    EndAttempt();
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
    LogAttemptEnd("failed");
    mMayHaveRun = true;
    EndAttempt();
    if (!MayTryElsewhere())
      return GiveUp();
    Attempt();
  }

  [[nodiscard]] bool MayTryElsewhere() const
  {
    return mRows.mRoute->MayRepeat() && mSends < mRows.mRoute->mMaxAttempts &&
           mRows.mDeadline - mClock.Now() > kLeastTime;
  }

  void GiveUp()
  {
    if (mAnswer.IsHeadSent())
      return Break();
    Refuse(mMayHaveRun ? refusal_status::BadGateway : refusal_status::NotReady,
           kShortWait);
  }

  void Finish()
  {
    mCore.Crashes().OnAnswer(mRows.mFingerprint);
    if (mCacheKey)
      mCore.OnServed(mClock.Now(),
                     { .mKey = *mCacheKey,
                       .mServer = mServer->mListed.mId,
                       .mIsStored = mIsStored });
    EndAttempt();
    mIsDone = true;
    mTimer.cancel();
    LogAnswer();
    std::shared_ptr<Caller> const caller = std::move(mCaller);
    mAnswer.Finish(*caller);
  }

  // One line for each attempt that the caller's answer didn't come from.
  void LogAttemptEnd(std::string_view aCause) const
  {
    LogEvent(
      "attempt_ended",
      { { "request", mFacts.mId.Text() },
        { "server", mServer->mListed.mId.Text() },
        { "cause", std::string{ aCause } },
        { "sends", std::int64_t{ mSends } },
        { "may_repeat", std::int64_t{ mRows.mRoute->MayRepeat() } },
        { "config", static_cast<std::int64_t>(mRows.mConfig->Version()) },
        { "since_ms", Milliseconds(mClock.Now() - mStartedAt) } });
  }

  void LogAnswer() const
  {
    LogEvent(
      "answered",
      { { "request", mFacts.mId.Text() },
        { "route", mRows.mRoute->mName.Text() },
        { "server", mServer->mListed.mId.Text() },
        { "status", std::int64_t{ mAnswer.Status() } },
        { "sends", std::int64_t{ mSends } },
        { "pressure", mPressure },
        { "fetched_from", mFetchFrom ? mFetchFrom->Text() : std::string{} },
        { "first_ms",
          Milliseconds((mFirstAt == instant{} ? mClock.Now() : mFirstAt) -
                       mStartedAt) },
        { "all_ms", Milliseconds(mClock.Now() - mStartedAt) } });
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
    LogEvent(
      "refused",
      { { "request", mFacts.mId.Text() },
        { "status", static_cast<std::int64_t>(aStatus) },
        { "route", mRows.mRoute ? mRows.mRoute->mName.Text() : std::string{} },
        { "workspace",
          mRows.mWorkspace ? mRows.mWorkspace->mName.Text() : std::string{} },
        { "units", mRows.mUnits },
        { "sends", std::int64_t{ mSends } },
        { "may_have_run", std::int64_t{ mMayHaveRun } },
        { "held_ms", Milliseconds(mClock.Now() - mStartedAt) },
        { "retry_after_ms", std::int64_t{ aRetryAfter.count() } } });
    bool const promisesNotRun = aStatus == refusal_status::NotReady;
    if (promisesNotRun && mRows.mWorkspace != nullptr && mRows.mUnits > 0)
      mCore.Quota().Refund(mClock.Now(), mRows.mWorkspace->mName, mRows.mUnits);
    std::shared_ptr<Caller> const caller = std::move(mCaller);
    caller->SendWhole(RefusalHead(aStatus, aRetryAfter), {});
  }

  static std::int64_t Milliseconds(duration aSpan)
  {
    return std::chrono::duration_cast<std::chrono::milliseconds>(aSpan).count();
  }

  void EndAttempt()
  {
    if (!mExchange)
      return;
    mServer->OnEnd(RequestTokens(mFacts));
    mExchange->Cancel();
    mExchange.reset();
  }

  boost::asio::io_context& mContext;
  traffic_core& mCore;
  /// Null once the request has its final answer.
  std::shared_ptr<Caller> mCaller;
  request_head mHead;
  std::shared_ptr<std::string const> mBody;
  boost::asio::steady_timer mTimer;
  system_clock mClock;
  instant mStartedAt;
  /// When the first piece of the answer came.
  instant mFirstAt{};
  /// Of the server when the request was sent to it.
  double mPressure = 0;
  std::optional<endpoint> mFetchFrom;
  request_facts mFacts;
  admitted_request mRows;
  std::vector<backend_server_id> mTried;
  std::uint32_t mSends = 0;
  std::shared_ptr<served_server> mServer;
  std::shared_ptr<exchange> mExchange;
  std::optional<std::uint64_t> mCacheKey;
  bool mIsStored = false;
  attempt_outcome mOutcome = attempt_outcome::Open;
  answer_relay mAnswer;
  bool mMayHaveRun = false;
  bool mWaitsForCaller = false;
  bool mIsDone = false;
};

}

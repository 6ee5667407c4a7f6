#pragma once

#include <LibDispatch/SpeedTrial.h>
#include <LibEvents/EventLog.h>
#include <LibGateway/AttemptOutcome.h>
#include <LibGateway/AttemptRequest.h>
#include <LibGateway/ServerExchange.h>
#include <LibGateway/TrafficCore.h>

#include <chrono>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace lycheeseam {

/// One attempt to have one server run a request. The request counts towards the
/// server's load from Begin to End. Sink is the one that server_exchange
/// describes.
template<typename Sink>
class server_attempt
{
public:
  server_attempt(boost::asio::io_context& aContext, traffic_core& aCore)
    : mContext(aContext)
    , mCore(aCore)
  {
  }

  /// Sends the request; the previous attempt must have ended.
  void Begin(instant aNow,
             std::shared_ptr<tracked_server> aServer,
             attempt_request aRequest,
             std::shared_ptr<Sink> aSink)
  {
    mServer = std::move(aServer);
    mTokens = aRequest.mTokens;
    mPrefixes = std::move(aRequest.mPrefixes);
    mPartCrashes = std::move(aRequest.mPartCrashes);
    mObserved = std::move(aRequest.mObserved);
    mFirstPieceAt.reset();
    mOutcome = attempt_outcome::Pending;
    mSpeedTrial.Begin(aNow, *mServer, aRequest.mPromptTokens);
    mServer->OnStart(aNow, mTokens);
    // A local copy, because the sink may begin the next attempt while this one
    // is being started.
    std::shared_ptr<server_exchange<Sink>> const started =
      std::make_shared<server_exchange<Sink>>(
        mContext, mCore, mServer, std::move(aSink));
    mExchange = started;
    started->Start(std::move(aRequest.mHead),
                   std::move(aRequest.mBody),
                   aRequest.mAnswerHasBody);
  }

  /// Ends the attempt; a server that is still working on the request sees its
  /// connection close.
  void End()
  {
    if (!mExchange)
      return;
    mServer->OnEnd(mTokens);
    mObserved.mIsIgnored |= mOutcome == attempt_outcome::NotRun;
    mCore.Rollouts().OnEnd(mClock.Now(), mObserved);
    mExchange->Cancel();
    mExchange.reset();
  }

  /// Reads the next piece of the answer; does nothing when the attempt has
  /// ended.
  void ReadNext()
  {
    if (mExchange)
      mExchange->ReadNext();
  }

  /// No connection could be opened to the server. A missing path isn't held
  /// against it: while an instance is cut off, that would open the breakers of
  /// all servers, and no tunnel would be tried any more.
  void OnUnreachable(instant aNow, exchange_end aEnd)
  {
    mObserved.mIsIgnored = true;
    if (aEnd == exchange_end::NoPath)
      return;
    breaker_state const before = mServer->mBreaker.State(aNow);
    mServer->mBreaker.OnUnreachable(aNow);
    ReportBreaker(aNow, before);
    mCore.Connections().CloseIdle(ServerId());
  }

  /// The connection to the server broke, its machine became unresponsive, or
  /// the answer was invalid.
  void OnConnectionLost(instant aNow, exchange_end aEnd)
  {
    // A tunnel shows no difference between a server and a peer that failed.
    mObserved.mIsIgnored = aEnd == exchange_end::TunnelBroken;
    if (aEnd == exchange_end::TunnelBroken)
      return;
    mObserved.mIsBroken = true;
    breaker_state const before = mServer->mBreaker.State(aNow);
    if (aEnd == exchange_end::Unresponsive) {
      mServer->mBreaker.OnUnreachable(aNow);
      mCore.OnServerUnreachable(aNow, ServerId());
    } else
      mServer->mBreaker.OnFailure(aNow);
    ReportBreaker(aNow, before);
    if (aEnd != exchange_end::Unresponsive &&
        mOutcome != attempt_outcome::Invalid)
      mCore.OnPartsCrashed(aNow, mPartCrashes);
    // Idle connections to the server may have failed as well; a new connection
    // shows at once, before a request is sent, whether the server is up.
    mCore.Connections().CloseIdle(ServerId());
  }

  /// A piece of the answer was received, so the server has read the prompt.
  void OnPiece(instant aNow)
  {
    mObserved.OnPiece(aNow);
    if (!mFirstPieceAt) {
      mFirstPieceAt = aNow;
      if (mOutcome == attempt_outcome::Accepted)
        mSpeedTrial.OnFirstEvent(aNow, *mServer, mCore.Servers());
      for (prefix_holder const& prefix : std::exchange(mPrefixes, {}))
        mCore.OnPrefixRead(aNow, prefix);
    }
    if (aNow - *mFirstPieceAt >= kAnswerStartTime)
      OnAnswering(aNow);
  }

  /// The head of the answer was received.
  void OnHead(std::uint32_t aStatus) { mObserved.mStatus = aStatus; }

  /// The answer was received to its end.
  void OnComplete() { mObserved.mIsComplete = true; }

  /// The server answers the request without having crashed under it.
  void OnAnswering(instant aNow)
  {
    mCore.OnPartsAnswered(aNow, std::exchange(mPartCrashes, {}));
  }

  [[nodiscard]] bool IsOpen() const noexcept { return mExchange != nullptr; }

  /// True while the attempt runs and the server may have received the request.
  [[nodiscard]] bool IsSent() const
  {
    return mExchange != nullptr && mExchange->IsSent();
  }

  /// True for an answer that doesn't say whose it is on a connection that was
  /// used before: it may be a late copy of an earlier answer.
  [[nodiscard]] bool MayBeOfEarlierRequest(server_answer const& aAnswer) const
  {
    return !aAnswer.mRequest && mExchange != nullptr && mExchange->IsReused();
  }

  /// The server of the latest attempt.
  [[nodiscard]] tracked_server& Server() const { return *mServer; }
  [[nodiscard]] backend_server_id const& ServerId() const
  {
    return mServer->mRegistered.mId;
  }

  [[nodiscard]] attempt_outcome Outcome() const noexcept { return mOutcome; }
  void SetOutcome(attempt_outcome aOutcome) noexcept { mOutcome = aOutcome; }

private:
  // A part that crashes servers does so when they begin to answer; one that
  // goes on for so long has not crashed under the request.
  static constexpr std::chrono::milliseconds kAnswerStartTime{ 50 };

  void ReportBreaker(instant aNow, breaker_state aBefore)
  {
    if (aBefore == breaker_state::Open ||
        mServer->mBreaker.State(aNow) != breaker_state::Open)
      return;
    mCore.Meter().OnBreakerOpened(ServerId());
    LogEvent("breaker_opened", { { "server", ServerId().Text() } });
  }

  boost::asio::io_context& mContext;
  traffic_core& mCore;
  std::shared_ptr<tracked_server> mServer;
  std::shared_ptr<server_exchange<Sink>> mExchange;
  token_count mTokens = 0;
  std::vector<prefix_holder> mPrefixes;
  /// What was known of the prompt's parts when the request was sent; empty once
  /// the server answers it.
  std::vector<part_crashes> mPartCrashes;
  std::optional<instant> mFirstPieceAt;
  speed_trial mSpeedTrial;
  observed_attempt mObserved;
  system_clock mClock;
  attempt_outcome mOutcome = attempt_outcome::Pending;
};

}

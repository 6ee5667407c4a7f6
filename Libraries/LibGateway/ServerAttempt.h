#pragma once

#include <LibEvents/EventLog.h>
#include <LibGateway/AttemptOutcome.h>
#include <LibGateway/AttemptRequest.h>
#include <LibGateway/ServerExchange.h>
#include <LibGateway/TrafficCore.h>

#include <memory>
#include <utility>

namespace lycheeseam {

/// One send of a request to one server, which counts there from its beginning
/// to its end. Sink is told of the exchange as server_exchange says.
template<typename Sink>
class server_attempt
{
public:
  server_attempt(boost::asio::io_context& aContext, traffic_core& aCore)
    : mContext(aContext)
    , mCore(aCore)
  {
  }

  /// Sends; the attempt before must have ended.
  void Begin(std::shared_ptr<tracked_server> aServer,
             attempt_request aRequest,
             std::shared_ptr<Sink> aSink)
  {
    mServer = std::move(aServer);
    mTokens = aRequest.mTokens;
    mPart = std::move(aRequest.mPart);
    mOutcome = attempt_outcome::Open;
    mServer->OnStart(mTokens);
    // The sink may begin the next attempt from within the start of this one.
    std::shared_ptr<server_exchange<Sink>> const started =
      std::make_shared<server_exchange<Sink>>(
        mContext, mCore.Channels(), mServer, std::move(aSink));
    mExchange = started;
    started->Start(std::move(aRequest.mHead),
                   std::move(aRequest.mBody),
                   aRequest.mAnswerHasBody);
  }

  /// Ends it; the server sees its connection close if it is still at work.
  void End()
  {
    if (!mExchange)
      return;
    mServer->OnEnd(mTokens);
    mExchange->Cancel();
    mExchange.reset();
  }

  /// Reads the answer's next piece; nothing when the attempt has ended.
  void ReadOn()
  {
    if (mExchange)
      mExchange->ReadOn();
  }

  /// No connection could be opened to the server.
  void OnUnreachable(instant aNow)
  {
    breaker_state const before = mServer->mBreaker.State(aNow);
    mServer->mBreaker.OnUnreachable(aNow);
    NoteBreaker(aNow, before);
    mCore.Channels().Forget(mServer->mRegistered.mId);
  }

  /// The server's connection broke, or its machine fell silent.
  void OnLost(instant aNow, exchange_end aEnd)
  {
    breaker_state const before = mServer->mBreaker.State(aNow);
    if (aEnd == exchange_end::Silent)
      mServer->mBreaker.OnUnreachable(aNow);
    else
      mServer->mBreaker.OnFailure(aNow);
    NoteBreaker(aNow, before);
    // Kept connections to it may be as dead as this one; a new one shows at
    // once whether it lives, before anything is sent.
    mCore.Channels().Forget(mServer->mRegistered.mId);
  }

  /// The answer is whole.
  void OnAnswered(instant aNow)
  {
    if (mPart)
      mCore.OnServed(aNow, *mPart);
  }

  [[nodiscard]] bool IsOpen() const noexcept { return mExchange != nullptr; }

  /// True while it runs and may have reached the server.
  [[nodiscard]] bool IsSent() const
  {
    return mExchange != nullptr && mExchange->IsSent();
  }

  /// The server of the attempt that began last.
  [[nodiscard]] tracked_server& Server() const { return *mServer; }

  [[nodiscard]] attempt_outcome Outcome() const noexcept { return mOutcome; }
  void SetOutcome(attempt_outcome aOutcome) noexcept { mOutcome = aOutcome; }

private:
  void NoteBreaker(instant aNow, breaker_state aBefore)
  {
    if (aBefore == breaker_state::Open ||
        mServer->mBreaker.State(aNow) != breaker_state::Open)
      return;
    mCore.Meter().OnBreakerOpened(mServer->mRegistered.mId);
    LogEvent("breaker_opened",
             { { "server", mServer->mRegistered.mId.Text() } });
  }

  boost::asio::io_context& mContext;
  traffic_core& mCore;
  std::shared_ptr<tracked_server> mServer;
  std::shared_ptr<server_exchange<Sink>> mExchange;
  token_count mTokens = 0;
  std::optional<prefix_holder> mPart;
  attempt_outcome mOutcome = attempt_outcome::Open;
};

}

#pragma once

#include <LibGateway/GatewayDialect.h>
#include <LibGateway/ProbeResult.h>
#include <LibGateway/ServerExchange.h>
#include <LibGateway/TrafficCore.h>
#include <LibHttp/FormatHead.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace lycheeseam {

/// One request for a server's health path, which tells its load. Runs on the
/// traffic thread, beside the requests of callers.
template<gateway_dialect Dialect>
class load_probe : public std::enable_shared_from_this<load_probe<Dialect>>
{
public:
  load_probe(boost::asio::io_context& aContext,
             traffic_core& aCore,
             std::shared_ptr<tracked_server> aServer)
    : mContext(aContext)
    , mCore(aCore)
    , mServer(std::move(aServer))
    , mTimer(aContext)
  {
  }

  /// Asks the server; keeps itself alive until the probe has ended.
  void Start(std::string_view aPath)
  {
    mTimer.expires_after(kTimeout);
    mTimer.async_wait(
      [self = this->shared_from_this()](boost::system::error_code aFault) {
        if (!aFault)
          self->OnTimeout();
      });
    request_head const head{
      .mMethod = "GET",
      .mTarget = std::string{ aPath },
      .mFields = { { "Host", mServer->mRegistered.mAddress.Text() } }
    };
    mExchange = std::make_shared<server_exchange<load_probe>>(
      mContext, mCore, mServer, this->shared_from_this());
    // A local copy, because the end of the exchange removes the member.
    std::shared_ptr<server_exchange<load_probe>> const started = mExchange;
    started->Start(
      FormatRequestHead(head), std::make_shared<std::string const>(), true);
  }

  answer_use OnExchangeHead(answer_head const& aHead)
  {
    server_answer const answer = Dialect::ReadAnswer(aHead);
    // A late answer of a request that ran on the connection before.
    if (answer.mRequest && mExchange && mExchange->IsReused())
      return answer_use::Skip;
    mResult = mCore.OnProbeAnswer(mClock.Now(), *mServer, answer);
    return answer_use::Discard;
  }

  void OnExchangePiece(std::string_view /*aPiece*/) {}

  void OnExchangeEnd(exchange_end /*aEnd*/) { End(); }

private:
  // A later answer describes a moment that has passed.
  static constexpr std::chrono::milliseconds kTimeout{ 300 };

  void OnTimeout()
  {
    if (!mExchange)
      return;
    if (mResult == probe_result::Failed)
      mResult = probe_result::TimedOut;
    std::shared_ptr<server_exchange<load_probe>> const exchange = mExchange;
    exchange->Cancel();
    End();
  }

  void End()
  {
    mExchange.reset();
    mTimer.cancel();
    mCore.OnProbeEnd(mServer->mRegistered.mId, mResult);
  }

  boost::asio::io_context& mContext;
  traffic_core& mCore;
  std::shared_ptr<tracked_server> mServer;
  boost::asio::steady_timer mTimer;
  system_clock mClock;
  /// Null once the probe has ended.
  std::shared_ptr<server_exchange<load_probe>> mExchange;
  probe_result mResult = probe_result::Failed;
};

}

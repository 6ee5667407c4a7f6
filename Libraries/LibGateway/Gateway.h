#pragma once

#include <LibGateway/CallerSession.h>
#include <LibGateway/InstanceQueryHandler.h>
#include <LibGateway/LoadProber.h>
#include <LibGateway/QuerySession.h>
#include <LibGateway/SessionListener.h>
#include <LibGateway/TunnelSession.h>

#include <functional>
#include <optional>

namespace lycheeseam {

/// The traffic thread of one instance: serves callers, answers readiness checks
/// and address queries, and reports to the control thread a few times a second.
/// Constructed and run on the traffic thread.
template<gateway_dialect Dialect>
class gateway
{
public:
  using report_handler = std::function<void(traffic_report)>;

  /// Throws boost::system::system_error when a listen address is in use.
  gateway(boost::asio::io_context& aContext,
          gateway_options aOptions,
          published<fleet_view> const& aPublished,
          report_handler aHandler)
    : mContext(aContext)
    , mOptions(std::move(aOptions))
    , mCore(mOptions, aPublished)
    , mHandler(std::move(aHandler))
    , mQueryHandler(mCore)
    , mReadiness(aContext, mQueryHandler, mOptions.mReadiness)
    , mAddresses(aContext, mQueryHandler, mOptions.mAddresses)
    , mCallers(aContext, mCore, mOptions.mCallers)
    , mProber(aContext, mCore)
    , mTimer(aContext)
  {
    if (mOptions.mTunnels.mPort != 0)
      mTunnels.emplace(aContext, mCore, mOptions.mTunnels);
  }

  /// Starts accepting connections.
  void Start()
  {
    mReadiness.Accept();
    mAddresses.Accept();
    mCallers.Accept();
    if (mTunnels)
      mTunnels->Accept();
    Tick();
  }

  /// Begins a planned stop: still serves requests, but reports the instance as
  /// not ready and closes each caller's connection after its answer.
  void StartDraining() { mCore.SetDraining(); }

  /// Stops accepting callers; running requests continue.
  void Close()
  {
    mCallers.Close();
    CloseIdle();
  }

  /// Refuses requests that arrive from now on; running requests continue.
  void RefuseRequests() { mCore.SetRefusing(); }

  /// Opens no tunnels from now on; open ones continue.
  void RefuseTunnels() { mCore.SetRefusingTunnels(); }

  /// Gives all running requests their final answers now.
  void EndRequests()
  {
    for (auto const& session : mCallers.Sessions())
      session->EndRequest();
  }

  /// True when no request is being answered.
  [[nodiscard]] bool IsIdle()
  {
    for (auto const& session : mCallers.Sessions()) {
      if (session->IsBusy())
        return false;
    }
    return !mTunnels || mTunnels->Sessions().empty();
  }

  /// Takes over what another instance observed.
  void OnPeerUpdate(peer_update const& aUpdate)
  {
    mCore.OnPeerUpdate(mClock.Now(), aUpdate);
  }

private:
  using query_handler = instance_query_handler<Dialect>;

  // Other instances learn of this one's usage with up to this delay.
  static constexpr std::chrono::milliseconds kReportInterval{ 150 };
  // Streams last for some hundred milliseconds. An instance that is lost must
  // have reported the software that began them by then, or no other can resume
  // them.
  static constexpr std::chrono::milliseconds kOriginsInterval{ 50 };

  [[nodiscard]] std::chrono::milliseconds ReportInterval()
  {
    return mCore.View(mClock.Now())->HasMixedSoftware() ? kOriginsInterval
                                                        : kReportInterval;
  }

  void CloseIdle()
  {
    for (auto const& session : mCallers.Sessions()) {
      if (!session->IsBusy())
        session->Close();
    }
  }

  void Tick()
  {
    mTimer.expires_after(ReportInterval());
    mTimer.async_wait([this](boost::system::error_code aFault) {
      if (aFault)
        return;
      // Armed first, so that an error below doesn't end the ticks.
      Tick();
      mCore.Prune(mClock.Now());
      mProber.Tick(mClock.Now());
      mHandler(mCore.TakeReport(mClock.Now()));
    });
  }

  boost::asio::io_context& mContext;
  gateway_options mOptions;
  traffic_core mCore;
  report_handler mHandler;
  query_handler mQueryHandler;
  session_listener<query_session<query_handler>, query_handler> mReadiness;
  session_listener<query_session<query_handler>, query_handler> mAddresses;
  session_listener<caller_session<Dialect>, traffic_core> mCallers;
  std::optional<session_listener<tunnel_session<Dialect>, traffic_core>>
    mTunnels;
  load_prober<Dialect> mProber;
  boost::asio::steady_timer mTimer;
  system_clock mClock;
};

}

#pragma once

#include <LibGateway/CallerSession.h>
#include <LibGateway/InstanceQuestions.h>
#include <LibGateway/QuerySession.h>
#include <LibGateway/SessionListener.h>

#include <functional>

namespace lycheeseam {

/// The traffic thread of one instance: takes callers, answers questions, and
/// reports to control a few times a second. Made and run on that thread.
template<gateway_dialect Dialect>
class gateway
{
public:
  using report_handler = std::function<void(traffic_report)>;

  /// Throws boost::system::system_error when an address is taken.
  gateway(boost::asio::io_context& aContext,
          gateway_options aOptions,
          published<fleet_view> const& aPublished,
          report_handler aHandler)
    : mContext(aContext)
    , mOptions(std::move(aOptions))
    , mCore(mOptions, aPublished)
    , mHandler(std::move(aHandler))
    , mQuestions(mCore)
    , mReadiness(aContext, mQuestions, mOptions.mReadiness)
    , mAddresses(aContext, mQuestions, mOptions.mAddresses)
    , mCallers(aContext, mCore, mOptions.mCallers)
    , mTimer(aContext)
  {
  }

  /// Takes callers from now on.
  void Start()
  {
    mReadiness.Accept();
    mAddresses.Accept();
    mCallers.Accept();
    Tick();
  }

  /// Begins a planned stop: takes what comes and tells callers to go.
  void Leave()
  {
    mCore.SetLeaving();
    CloseIdle();
  }

  /// Takes no more callers; requests that run go on.
  void Close()
  {
    mCallers.Close();
    CloseIdle();
  }

  /// True when no request is being answered.
  [[nodiscard]] bool IsIdle()
  {
    for (auto const& session : mCallers.Sessions()) {
      if (session->IsBusy())
        return false;
    }
    return true;
  }

  /// Another instance told what it saw.
  void OnPeerUpdate(peer_update const& aNews)
  {
    mCore.OnPeerUpdate(mClock.Now(), aNews);
  }

private:
  using questions = instance_questions<Dialect>;

  // Others count what this instance admits this much later.
  static constexpr std::chrono::milliseconds kReportInterval{ 150 };

  void CloseIdle()
  {
    for (auto const& session : mCallers.Sessions()) {
      if (!session->IsBusy())
        session->Close();
    }
  }

  void Tick()
  {
    mTimer.expires_after(kReportInterval);
    mTimer.async_wait([this](boost::system::error_code aFault) {
      if (aFault)
        return;
      mCore.Prune(mClock.Now());
      mHandler(mCore.TakeReport(mClock.Now()));
      Tick();
    });
  }

  boost::asio::io_context& mContext;
  gateway_options mOptions;
  traffic_core mCore;
  report_handler mHandler;
  questions mQuestions;
  session_listener<query_session<questions>, questions> mReadiness;
  session_listener<query_session<questions>, questions> mAddresses;
  session_listener<caller_session<Dialect>, traffic_core> mCallers;
  boost::asio::steady_timer mTimer;
  system_clock mClock;
};

}

#include "RunFleet.h"

#include <LibControl/ControlThread.h>
#include <LibEvents/EventLog.h>
#include <LibFleet/FleetControl.h>
#include <LibGateway/Gateway.h>
#include <LibSettings/ParseFleetSettings.h>

#include <platform/RequestDialect.h>
#include <platform/StoreDialect.h>

#include <csignal>
#include <cstdlib>
#include <future>
#include <memory>
#include <optional>

namespace lycheeseam {

namespace {

using fleet_gateway = gateway<platform::request_dialect>;
using store_control = fleet_control<platform::store_dialect>;

gateway_options
MakeGatewayOptions(fleet_settings const& aSettings)
{
  constexpr double kPercent = 100.0;
  // Half of the slack covers what instances count differently from servers.
  constexpr double kSlackPart = 0.5;
  // Of what a window may hold beyond rate and burst.
  constexpr double kOvershoot = 0.05;
  // A request may wait in an engine's queue before it begins, and the news of
  // weights takes a while to get here.
  constexpr std::chrono::milliseconds kWeightsMargin{ 1'500 };
  return {
    .mInstance = aSettings.mInstance,
    .mDomain = aSettings.mDomain,
    .mCallers = aSettings.mCallers,
    .mReadiness = aSettings.mReadiness,
    .mAddresses = aSettings.mAddresses,
    .mQuota = { .mWindow = aSettings.mQuotaWindow,
                .mOvershoot = kOvershoot,
                .mSlackUnits =
                  kSlackPart * static_cast<double>(aSettings.mQuotaSlack) },
    .mRetryRatio = static_cast<double>(aSettings.mRetryPercent) / kPercent,
    .mRetrySlack = static_cast<double>(aSettings.mRetrySlack),
    .mRetryWindow =
      std::chrono::duration_cast<std::chrono::seconds>(aSettings.mRetryWindow),
    .mOutdatedAfter = aSettings.mWeightsTime - kWeightsMargin,
    .mAddressLifetime = aSettings.mAddressLifetime
  };
}

// A restart has a later start, also on another machine of the same name.
incarnation
ThisLife()
{
  return incarnation{ static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count()) };
}

fleet_options
MakeFleetOptions(fleet_settings const& aSettings)
{
  return { .mSelf = { .mLife = { .mInstance = aSettings.mInstance,
                                 .mIncarnation = ThisLife() },
                      .mFailureDomain = aSettings.mDomain,
                      .mCallers = aSettings.mCallers,
                      .mPeers = aSettings.mPeers },
           .mStore = aSettings.mStore,
           .mLease = aSettings.mLease };
}

/// A planned stop: serves what comes until nothing runs.
class planned_stop
{
public:
  planned_stop(boost::asio::io_context& aContext,
               fleet_gateway& aGateway,
               std::chrono::milliseconds aStopTime)
    : mGateway(aGateway)
    , mStopTime(aStopTime)
    , mTimer(aContext)
  {
  }

  /// Begins on the context's thread; the future is ready when all is done.
  std::future<void> Begin()
  {
    mGateway.Leave();
    mBeganAt = mClock.Now();
    Check();
    return mDone.get_future();
  }

private:
  // Callers that keep an old answer for addresses still come this long.
  static constexpr std::chrono::milliseconds kCloseTime{ 2'500 };
  static constexpr std::chrono::milliseconds kLeastTime{ 3'000 };
  // The end comes before the platform ends the process.
  static constexpr std::chrono::milliseconds kMargin{ 300 };
  static constexpr std::chrono::milliseconds kInterval{ 50 };

  void Check()
  {
    duration const passed = mClock.Now() - *mBeganAt;
    bool const isDone = passed >= kLeastTime && mGateway.IsIdle();
    if (isDone || passed >= mStopTime - kMargin)
      return mDone.set_value();
    if (passed >= kCloseTime)
      mGateway.Close();
    mTimer.expires_after(kInterval);
    mTimer.async_wait([this](auto aFault) {
      if (!aFault)
        Check();
    });
  }

  fleet_gateway& mGateway;
  std::chrono::milliseconds mStopTime;
  boost::asio::steady_timer mTimer;
  system_clock mClock;
  std::optional<instant> mBeganAt;
  std::promise<void> mDone;
};

/// The two threads of an instance and what runs on them.
class fleet_instance
{
public:
  explicit fleet_instance(fleet_settings const& aSettings)
    : mState(mControl.Context(),
             MakeFleetOptions(aSettings),
             mView,
             [this](peer_news aNews) { OnPeerNews(std::move(aNews)); })
    , mFront(mTraffic.Context(),
             MakeGatewayOptions(aSettings),
             mView,
             [this](traffic_report aReport) { OnReport(std::move(aReport)); })
    , mStop(mTraffic.Context(), mFront, aSettings.mStopTime)
  {
    boost::asio::post(mControl.Context(), [this]() { mState.Start(); });
    boost::asio::post(mTraffic.Context(), [this]() { mFront.Start(); });
  }

  /// Stops as planned; returns when nothing runs any more.
  void Stop()
  {
    boost::asio::post(mControl.Context(), [this]() { mState.Leave(); });
    std::promise<std::future<void>> begun;
    boost::asio::post(mTraffic.Context(),
                      [this, &begun]() { begun.set_value(mStop.Begin()); });
    begun.get_future().get().wait();
    mTraffic.Stop();
    mControl.Stop();
  }

private:
  void OnPeerNews(peer_news aNews)
  {
    boost::asio::post(mTraffic.Context(), [this, news = std::move(aNews)]() {
      mFront.OnPeerNews(news);
    });
  }

  void OnReport(traffic_report aReport)
  {
    boost::asio::post(mControl.Context(),
                      [this, report = std::move(aReport)]() mutable {
                        mState.OnReport(std::move(report));
                      });
  }

  published<fleet_view> mView{ std::make_shared<fleet_view const>() };
  control_thread mControl;
  control_thread mTraffic;
  store_control mState;
  fleet_gateway mFront;
  planned_stop mStop;
};

// Signals are taken by waiting for them, so that no code runs in a handler.
sigset_t
BlockStopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // A caller that goes away must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

// Returns when the process is told to stop.
void
AwaitStop(sigset_t const& aSignals)
{
  for (;;) {
    int signal = 0;
    sigwait(&aSignals, &signal);
    LogEvent("signal", { { "number", std::int64_t{ signal } } });
    if (signal != SIGHUP)
      return;
  }
}

}

void
RunFleet(std::string const& aSettingsPath)
{
  fleet_settings const settings = LoadFleetSettings(aSettingsPath);
  OpenEventLog(settings.mInstance.Text());
  LogEvent("started", { { "settings", aSettingsPath } });
  sigset_t const signals = BlockStopSignals();
  {
    fleet_instance instance{ settings };
    AwaitStop(signals);
    instance.Stop();
  }
  LogEvent("stopped", {});
  // The logging library joins its threads when its statics are destroyed,
  // which may outlast the time for a stop. Nothing else is left to do.
  std::quick_exit(0);
}

}

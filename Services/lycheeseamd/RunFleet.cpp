#include "RunFleet.h"

#include <LibControl/ControlThread.h>
#include <LibEvents/EventLog.h>
#include <LibFleet/FleetControl.h>
#include <LibGateway/Gateway.h>
#include <LibSettings/ParseFleetSettings.h>

#include <boost/asio/signal_set.hpp>
#include <platform/RequestDialect.h>
#include <platform/StoreDialect.h>

#include <csignal>
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
  return {
    .mInstance = aSettings.mInstance,
    .mDomain = aSettings.mDomain,
    .mCallers = aSettings.mCallers,
    .mReadiness = aSettings.mReadiness,
    .mAddresses = aSettings.mAddresses,
    .mQuota = { .mSlackUnits =
                  kSlackPart * static_cast<double>(aSettings.mQuotaSlack) },
    .mRetryRatio = static_cast<double>(aSettings.mRetryPercent) / kPercent,
    .mRetrySlack = static_cast<double>(aSettings.mRetrySlack),
    .mRetryWindow =
      std::chrono::duration_cast<std::chrono::seconds>(aSettings.mRetryWindow),
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

/// A planned stop: serves what comes until nothing runs, then ends the loop.
class planned_stop
{
public:
  planned_stop(boost::asio::io_context& aContext,
               fleet_gateway& aGateway,
               std::chrono::milliseconds aStopTime)
    : mContext(aContext)
    , mGateway(aGateway)
    , mStopTime(aStopTime)
    , mTimer(aContext)
  {
  }

  void Begin()
  {
    mGateway.Leave();
    mBeganAt = mClock.Now();
    Check();
  }

private:
  // Callers that keep an old answer for addresses still come this long.
  static constexpr std::chrono::milliseconds kLeastTime{ 3'000 };
  // The end comes before the platform ends the process.
  static constexpr std::chrono::milliseconds kMargin{ 300 };
  static constexpr std::chrono::milliseconds kInterval{ 50 };

  void Check()
  {
    duration const passed = mClock.Now() - *mBeganAt;
    bool const isDone = passed >= kLeastTime && mGateway.IsIdle();
    if (isDone || passed >= mStopTime - kMargin) {
      mContext.stop();
      return;
    }
    mTimer.expires_after(kInterval);
    mTimer.async_wait([this](auto aFault) {
      if (!aFault)
        Check();
    });
  }

  boost::asio::io_context& mContext;
  fleet_gateway& mGateway;
  std::chrono::milliseconds mStopTime;
  boost::asio::steady_timer mTimer;
  system_clock mClock;
  std::optional<instant> mBeganAt;
};

}

void
RunFleet(std::string const& aSettingsPath)
{
  fleet_settings const settings = LoadFleetSettings(aSettingsPath);
  std::signal(SIGPIPE, SIG_IGN);
  OpenEventLog(settings.mInstance.Text());
  LogEvent("started", { { "settings", aSettingsPath } });
  published<fleet_view> view{ std::make_shared<fleet_view const>() };
  boost::asio::io_context traffic{ 1 };
  boost::asio::signal_set signals{ traffic, SIGTERM, SIGINT, SIGHUP };

  control_thread control;
  std::unique_ptr<fleet_gateway> front;
  store_control state{ control.Context(),
                       MakeFleetOptions(settings),
                       view,
                       [&traffic, &front](std::vector<crash_count> aCrashes) {
                         boost::asio::post(
                           traffic, [&front, crashes = std::move(aCrashes)]() {
                             front->OnPeerCrashes(crashes);
                           });
                       } };
  front = std::make_unique<fleet_gateway>(
    traffic,
    MakeGatewayOptions(settings),
    view,
    [&control, &state](traffic_report aReport) {
      boost::asio::post(control.Context(),
                        [&state, report = std::move(aReport)]() mutable {
                          state.OnReport(std::move(report));
                        });
    });
  boost::asio::post(control.Context(), [&state]() { state.Start(); });
  planned_stop stop{ traffic, *front, settings.mStopTime };
  std::function<void()> awaitSignal;
  awaitSignal = [&]() {
    signals.async_wait([&](auto aFault, int aSignal) {
      if (aFault)
        return;
      if (aSignal == SIGHUP)
        return awaitSignal();
      boost::asio::post(control.Context(), [&state]() { state.Leave(); });
      stop.Begin();
    });
  };
  awaitSignal();
  traffic.run();
  LogEvent("stopped", {});
  control.Stop();
}

}

#pragma once

#include "FleetOptions.h"
#include "PlannedStop.h"
#include <LibControl/ControlThread.h>
#include <LibFleet/FleetControl.h>
#include <LibGateway/Gateway.h>

#include <boost/asio/post.hpp>
#include <platform/RequestDialect.h>
#include <platform/StoreDialect.h>

#include <future>
#include <memory>
#include <utility>

namespace lycheeseam {

/// One instance: a thread for control state, a thread for traffic, and the
/// objects that run on them. Its owner uses it from a third thread.
class fleet_instance
{
public:
  explicit fleet_instance(fleet_settings const& aSettings)
    : mFleetControl(
        mControlThread.Context(),
        MakeFleetOptions(aSettings),
        mView,
        [this](peer_update aUpdate) { OnPeerUpdate(std::move(aUpdate)); })
    , mGateway(mTrafficThread.Context(),
               MakeGatewayOptions(aSettings),
               mView,
               [this](traffic_report aReport) { OnReport(std::move(aReport)); })
    , mPlannedStop(mTrafficThread.Context(), mGateway, aSettings.mStopTime)
  {
    mControlThread.Invoke([this]() { mFleetControl.Start(); });
    mTrafficThread.Invoke([this]() { mGateway.Start(); });
  }

  /// Leaves the fleet and drains the gateway; returns when both threads have
  /// ended.
  void Stop()
  {
    boost::asio::post(mControlThread.Context(),
                      [this]() { mFleetControl.Leave(); });
    std::future<void> const drained =
      mTrafficThread.Invoke([this]() { return mPlannedStop.Begin(); });
    drained.wait();
    mTrafficThread.Stop();
    mControlThread.Stop();
  }

private:
  using fleet_gateway = gateway<platform::request_dialect>;
  using store_control = fleet_control<platform::store_dialect>;

  void OnPeerUpdate(peer_update aUpdate)
  {
    boost::asio::post(
      mTrafficThread.Context(),
      [this, update = std::move(aUpdate)]() { mGateway.OnPeerUpdate(update); });
  }

  void OnReport(traffic_report aReport)
  {
    boost::asio::post(mControlThread.Context(),
                      [this, report = std::move(aReport)]() mutable {
                        mFleetControl.OnReport(std::move(report));
                      });
  }

  published<fleet_view> mView{ std::make_shared<fleet_view const>() };
  control_thread mControlThread;
  control_thread mTrafficThread;
  store_control mFleetControl;
  fleet_gateway mGateway;
  planned_stop<fleet_gateway> mPlannedStop;
};

}

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

/// The two threads of an instance and what runs on them.
class fleet_instance
{
public:
  explicit fleet_instance(fleet_settings const& aSettings)
    : mState(mControl.Context(),
             MakeFleetOptions(aSettings),
             mView,
             [this](peer_update aNews) { OnPeerUpdate(std::move(aNews)); })
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
  using fleet_gateway = gateway<platform::request_dialect>;
  using store_control = fleet_control<platform::store_dialect>;

  void OnPeerUpdate(peer_update aNews)
  {
    boost::asio::post(mTraffic.Context(), [this, news = std::move(aNews)]() {
      mFront.OnPeerUpdate(news);
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
  planned_stop<fleet_gateway> mStop;
};

}

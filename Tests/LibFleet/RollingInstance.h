#pragma once

#include "RestorableStore.h"
#include <LibControl/ControlThread.h>
#include <LibFleet/FleetControl.h>
#include <LibGateway/Gateway.h>

#include <boost/asio/post.hpp>
#include <platform/RequestDialect.h>
#include <platform/StoreDialect.h>

#include <chrono>
#include <memory>
#include <utility>

namespace lycheeseam {

/// An instance with both of its threads, which follows rollouts.
class rolling_instance
{
public:
  /// Throws boost::system::system_error when an address is in use.
  rolling_instance(endpoint const& aStore, endpoint aCallers, endpoint aPeers)
    : mCallers(std::move(aCallers))
    , mControl(mControlThread.Context(),
               { .mSelf = { .mIdentity = { .mInstance = instance_id{ "entry" },
                                           .mIncarnation = incarnation{ 1 } },
                            .mFailureDomain = failure_domain{ "z" },
                            .mCallers = mCallers,
                            .mPeers = std::move(aPeers) },
                 .mStore = aStore,
                 .mLease = std::chrono::seconds{ 3 },
                 .mRollouts = rollout_limits{} },
               mView,
               [](peer_update const&) {})
  {
    mControlThread.Invoke([this]() { mControl.Start(); });
    mTrafficThread.Invoke([this]() {
      mGateway = std::make_unique<test_gateway>(
        mTrafficThread.Context(),
        gateway_options{ .mInstance = instance_id{ "entry" },
                         .mDomain = failure_domain{ "z" },
                         .mCallers = mCallers,
                         .mReadiness = Loopback(),
                         .mAddresses = Loopback(),
                         .mRollouts = rollout_limits{} },
        mView,
        [this](traffic_report aReport) { OnReport(std::move(aReport)); });
      mGateway->Start();
    });
  }
  rolling_instance(rolling_instance const&) = delete;
  rolling_instance& operator=(rolling_instance const&) = delete;
  ~rolling_instance()
  {
    mTrafficThread.Stop();
    mControlThread.Stop();
  }

  [[nodiscard]] endpoint const& Callers() const { return mCallers; }

  [[nodiscard]] std::size_t ServerCount() const
  {
    return mView.Current()->mServers.size();
  }

private:
  using test_gateway = gateway<platform::request_dialect>;

  // Any free port.
  static endpoint Loopback() { return { .mAddress = "127.0.0.1" }; }

  void OnReport(traffic_report aReport)
  {
    boost::asio::post(mControlThread.Context(),
                      [this, report = std::move(aReport)]() mutable {
                        mControl.OnReport(std::move(report));
                      });
  }

  endpoint mCallers;
  published<fleet_view> mView{ std::make_shared<fleet_view const>() };
  control_thread mControlThread;
  control_thread mTrafficThread;
  fleet_control<platform::store_dialect> mControl;
  std::unique_ptr<test_gateway> mGateway;
};

}

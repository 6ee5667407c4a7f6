#pragma once

#include "GatewayFixture.h"
#include "ReservedAddress.h"

#include <array>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace lycheeseam {

/// Another instance of the same fleet, with its own view of it.
class peer_instance
{
public:
  using test_gateway = gateway<platform::request_dialect>;

  peer_instance(instance_id aName, fleet_view aView)
    : mName(std::move(aName))
  {
    mView.Publish(std::make_shared<fleet_view const>(std::move(aView)));
    // Another socket may take a port between its choice and its use.
    constexpr int kTries = 5;
    for (int tries = 1; !TryStart() && tries < kTries; ++tries)
      continue;
  }
  peer_instance(peer_instance const&) = delete;
  peer_instance& operator=(peer_instance const&) = delete;

  ~peer_instance()
  {
    mTraffic.Stop();
    mGateway.reset();
  }

  [[nodiscard]] ready_instance Entry() const
  {
    return { .mInstance = mName, .mAddress = mCallers, .mTunnels = mTunnels };
  }

  void SetView(fleet_view aView)
  {
    mView.Publish(std::make_shared<fleet_view const>(std::move(aView)));
  }

  /// Runs a function of the gateway on its thread.
  template<typename Function>
  void Do(Function aFunction)
  {
    mTraffic.Invoke([this, aFunction]() { aFunction(*mGateway); });
  }

  [[nodiscard]] fleet_view View() const { return *mView.Current(); }
  [[nodiscard]] endpoint const& Callers() const noexcept { return mCallers; }

private:
  bool TryStart()
  {
    mCallers = FreeAddress();
    mTunnels = FreeAddress();
    try {
      mTraffic.Invoke([this]() { MakeGateway(); });
      return true;
    } catch (boost::system::system_error const&) {
      return false;
    }
  }

  void MakeGateway()
  {
    mGateway = std::make_unique<test_gateway>(
      mTraffic.Context(),
      gateway_options{ .mInstance = mName,
                       .mCallers = mCallers,
                       .mReadiness = FreeAddress(),
                       .mAddresses = FreeAddress(),
                       .mTunnels = mTunnels },
      mView,
      [](traffic_report const&) {});
    mGateway->Start();
  }

  instance_id mName;
  endpoint mCallers;
  endpoint mTunnels;
  published<fleet_view> mView{ std::make_shared<fleet_view const>() };
  control_thread mTraffic;
  std::unique_ptr<test_gateway> mGateway;
};

/// A gateway that reaches no server: nothing listens at the addresses that it
/// has of them. Its peers know the real ones.
class TestTunnels : public TestGateway
{
protected:
  void StartCutOff(std::span<scripted_server* const> aServers)
  {
    StartCutOffFrom(AddressesOf(aServers));
  }

  void StartCutOffFrom(std::span<endpoint const> aServers)
  {
    mUnreachable = std::vector<reserved_address>(aServers.size());
    std::vector<endpoint> addresses;
    for (reserved_address const& unreachable : mUnreachable)
      addresses.push_back(unreachable.Address());
    StartGatewayAt(addresses);
    mReachable = *mView.Current();
    for (std::size_t index = 0; index < aServers.size(); ++index)
      mReachable.mServers[index].mAddress = aServers[index];
  }

  // Starts a peer; the gateway knows all that were started.
  peer_instance& StartPeer(std::string const& aName, fleet_view aView)
  {
    mPeers.push_back(
      std::make_unique<peer_instance>(instance_id{ aName }, std::move(aView)));
    fleet_view view = *mView.Current();
    view.mReadyInstances.push_back(mPeers.back()->Entry());
    mView.Publish(std::make_shared<fleet_view const>(std::move(view)));
    return *mPeers.back();
  }

  void TearDown() override
  {
    TestGateway::TearDown();
    mPeers.clear();
  }

  // What an instance that is cut off as well knows of the servers.
  [[nodiscard]] fleet_view CutOffView() const { return *mView.Current(); }

  std::vector<reserved_address> mUnreachable;
  /// What an instance that reaches the servers knows of them.
  fleet_view mReachable;
  std::vector<std::unique_ptr<peer_instance>> mPeers;
};

}

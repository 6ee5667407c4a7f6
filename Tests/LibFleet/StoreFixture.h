#pragma once

#include "RestorableStore.h"
#include <LibControl/ControlThread.h>
#include <LibFleet/FleetControl.h>

#include <gtest/gtest.h>
#include <platform/StoreDialect.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace lycheeseam {

inline constexpr char const* kOperators = "keyed.op";
inline constexpr char const* kServers = "keyed.servers";
inline constexpr char const* kInstances = "keyed.instances";
inline backend_server_id const kServer{ "engine-1" };

inline std::string
Config(int aVersion)
{
  return R"({"version": )" + std::to_string(aVersion) +
         R"(, "routes": [], "services": [], "tenants": [],
             "limits": {"max_header_bytes": 100, "max_body_bytes": 200,
                        "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})";
}

// The aCount-th entry of a server.
inline std::string
Entry(std::string const& aState, int aCount)
{
  return R"({"service": "p", "addr": "127.0.0.1:9", "zone": "z", "slots": 4,
             "state": ")" +
         aState + R"(", "born": 7, "seq": )" + std::to_string(aCount) + "}";
}

inline endpoint
FreeAddress()
{
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor const acceptor{
    context, { boost::asio::ip::make_address("127.0.0.1"), 0 }
  };
  return { .mAddress = "127.0.0.1", .mPort = acceptor.local_endpoint().port() };
}

/// An instance's control thread.
class test_instance
{
public:
  test_instance(std::string const& aName,
                endpoint const& aStore,
                incarnation aIncarnation = incarnation{ 1 })
    : mControl(mThread.Context(),
               { .mSelf = { .mIdentity = { .mInstance = instance_id{ aName },
                                           .mIncarnation = aIncarnation },
                            .mFailureDomain = failure_domain{ "z" },
                            .mCallers = FreeAddress(),
                            .mPeers = FreeAddress() },
                 .mStore = aStore,
                 .mLease = std::chrono::seconds{ 3 },
                 .mRollouts = rollout_limits{} },
               mView,
               [this](peer_update const& aUpdate) { OnUpdate(aUpdate); })
  {
    mThread.Invoke([this]() { mControl.Start(); });
  }
  test_instance(test_instance const&) = delete;
  test_instance& operator=(test_instance const&) = delete;
  ~test_instance() { mThread.Stop(); }

  [[nodiscard]] std::uint64_t ConfigVersion() const
  {
    std::shared_ptr<fleet_view const> const view = mView.Current();
    return view->mConfig ? view->mConfig->Version() : 0;
  }

  /// Reports a stream that the instance began.
  void Begin(stream_origin const& aOrigin)
  {
    mThread.Invoke(
      [this, aOrigin]() { mControl.OnReport({ .mOrigins = { aOrigin } }); });
  }

  /// Reports that no request runs on other software than the target, while the
  /// pool p is in the phase that waits for it.
  void ReportDrained()
  {
    std::optional<rollout_state> const state = Rollout();
    if (!state || state->mPhase != rollout_phase::Draining)
      return;
    mThread.Invoke([this, state]() {
      mControl.OnReport(
        { .mDrained = { { state->mOrder.mNumber, state->mRevision } } });
    });
  }

  /// Has the view published, and peers told.
  void Report()
  {
    mThread.Invoke([this]() { mControl.OnReport({}); });
  }

  /// The newest state of the pool p in its view.
  [[nodiscard]] std::optional<rollout_state> Rollout() const
  {
    std::optional<rollout_state> newest;
    for (rollout_state const& state : mView.Current()->mRollouts) {
      if (!newest || state.mOrder.mNumber > newest->mOrder.mNumber)
        newest = state;
    }
    return newest;
  }

  /// All orders of the pool p in its view.
  [[nodiscard]] std::vector<rollout_state> Rollouts() const
  {
    return mView.Current()->mRollouts;
  }

  /// True when it has learned of the stream's origin.
  [[nodiscard]] bool Knows(stream_origin const& aOrigin) const
  {
    std::lock_guard const lock{ mMutex };
    return std::find(mOrigins.begin(), mOrigins.end(), aOrigin) !=
           mOrigins.end();
  }

  /// The software that the pool p has used lately; empty while others may have
  /// been in use.
  [[nodiscard]] std::vector<pool_software> Software() const
  {
    std::shared_ptr<fleet_view const> const view = mView.Current();
    return view->mIsSoftwareComplete ? view->mSoftware
                                     : std::vector<pool_software>{};
  }

  /// The number of other instances that it knows.
  [[nodiscard]] std::size_t PeerCount() const
  {
    return mView.Current()->mInstances - 1;
  }

  /// The number of other instances that are known but don't report.
  [[nodiscard]] std::size_t SilentPeerCount() const
  {
    return mView.Current()->mUnresponsiveInstances;
  }

  [[nodiscard]] std::size_t ServerCount() const
  {
    return mView.Current()->mServers.size();
  }

  /// The stage of a server; nothing when it isn't known.
  [[nodiscard]] std::optional<server_stage> StageOf(
    backend_server_id const& aServer) const
  {
    for (registered_server const& server : mView.Current()->mServers) {
      if (server.mId == aServer)
        return server.mStage;
    }
    return std::nullopt;
  }

private:
  void OnUpdate(peer_update const& aUpdate)
  {
    std::lock_guard const lock{ mMutex };
    mOrigins.insert(
      mOrigins.end(), aUpdate.mOrigins.begin(), aUpdate.mOrigins.end());
  }

  mutable std::mutex mMutex;
  std::vector<stream_origin> mOrigins;
  published<fleet_view> mView{ std::make_shared<fleet_view const>() };
  control_thread mThread;
  fleet_control<platform::store_dialect> mControl;
};

/// Two instances, of which the second learns records from the first.
class store_fixture : public testing::Test
{
protected:
  static constexpr std::chrono::seconds kPatience{ 10 };

  void SetUp() override
  {
    mStore.Write(kOperators, "config", Config(1));
    for (char const* const name : { "entry-1", "entry-2" })
      mInstances.push_back(
        std::make_unique<test_instance>(name, mStore.Address()));
    ASSERT_TRUE(Await([](test_instance const& aInstance) {
      return aInstance.ConfigVersion() == 1 && aInstance.PeerCount() == 1;
    }));
  }

  /// Waits until the condition holds for all instances; false if it doesn't.
  bool Await(std::function<bool(test_instance const&)> const& aCondition)
  {
    return AwaitStore([this, &aCondition]() {
      return std::all_of(
        mInstances.begin(), mInstances.end(), [&](auto const& aInstance) {
          return aCondition(*aInstance);
        });
    });
  }

  static bool AwaitStore(std::function<bool()> const& aCondition)
  {
    std::chrono::steady_clock::time_point const end =
      std::chrono::steady_clock::now() + kPatience;
    while (!aCondition()) {
      if (std::chrono::steady_clock::now() > end)
        return false;
      std::this_thread::sleep_for(std::chrono::milliseconds{ 10 });
    }
    return true;
  }

  bool AwaitVersion(std::uint64_t aVersion)
  {
    return Await([aVersion](test_instance const& aInstance) {
      return aInstance.ConfigVersion() == aVersion;
    });
  }

  bool AwaitStage(std::optional<server_stage> aStage)
  {
    return Await([aStage](test_instance const& aInstance) {
      return aInstance.StageOf(kServer) == aStage;
    });
  }

  restorable_store mStore;
  std::vector<std::unique_ptr<test_instance>> mInstances;
};

}

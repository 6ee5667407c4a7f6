#include "RestorableStore.h"
#include <LibControl/ControlThread.h>
#include <LibFleet/FleetControl.h>

#include <gtest/gtest.h>
#include <platform/StoreDialect.h>

#include <chrono>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr char const* kOperators = "keyed.op";
constexpr char const* kServers = "keyed.servers";
constexpr char const* kInstances = "keyed.instances";
backend_server_id const kServer{ "engine-1" };

std::string
Config(int aVersion)
{
  return R"({"version": )" + std::to_string(aVersion) +
         R"(, "routes": [], "services": [], "tenants": [],
             "limits": {"max_header_bytes": 100, "max_body_bytes": 200,
                        "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})";
}

// The aCount-th entry of a server.
std::string
Entry(std::string const& aState, int aCount)
{
  return R"({"service": "p", "addr": "127.0.0.1:9", "zone": "z", "slots": 4,
             "state": ")" +
         aState + R"(", "born": 7, "seq": )" + std::to_string(aCount) + "}";
}

endpoint
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
  test_instance(std::string const& aName, endpoint const& aStore)
    : mControl(mThread.Context(),
               { .mSelf = { .mIdentity = { .mInstance = instance_id{ aName },
                                           .mIncarnation = incarnation{ 1 } },
                            .mFailureDomain = failure_domain{ "z" },
                            .mCallers = FreeAddress(),
                            .mPeers = FreeAddress() },
                 .mStore = aStore,
                 .mLease = std::chrono::seconds{ 3 } },
               mView,
               [](peer_update const&) {})
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

  /// The number of peers that are ready for callers.
  [[nodiscard]] std::size_t PeerCount() const
  {
    return mView.Current()->mInstances - 1;
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
  published<fleet_view> mView{ std::make_shared<fleet_view const>() };
  control_thread mThread;
  fleet_control<platform::store_dialect> mControl;
};

/// Two instances, of which the second learns records from the first.
class TestRestoredStore : public testing::Test
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
    steady_clock::time_point const end = steady_clock::now() + kPatience;
    while (!aCondition()) {
      if (steady_clock::now() > end)
        return false;
      std::this_thread::sleep_for(milliseconds{ 10 });
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

// Guards against a configuration that is acknowledged and never in force,
// because its record has an offset that an instance has already read.
TEST_F(TestRestoredStore, ConfigurationWrittenAfterARestoreComesIntoForce)
{
  mStore.Copy();
  for (int version = 2; version <= 4; ++version)
    mStore.Write(kOperators, "config", Config(version));
  ASSERT_TRUE(AwaitVersion(4));
  mStore.Restore();
  std::this_thread::sleep_for(milliseconds{ 600 });
  for (std::unique_ptr<test_instance> const& instance : mInstances)
    EXPECT_EQ(instance->ConfigVersion(), 4U);
  mStore.Write(kOperators, "config", Config(4));
  mStore.Write(kOperators, "config", Config(5));
  EXPECT_TRUE(AwaitVersion(5));
}

// The log is longer by then than what the instances have read, so that no read
// shows that offsets have fallen back.
TEST_F(TestRestoredStore, ConfigurationsThatReuseAllReadOffsetsComeIntoForce)
{
  mStore.Copy();
  mStore.Write(kOperators, "config", Config(2));
  ASSERT_TRUE(AwaitVersion(2));
  mStore.Restore();
  mStore.Write(kOperators, "config", Config(3));
  mStore.Write(kOperators, "else", "{}");
  EXPECT_TRUE(AwaitVersion(3));
}

// Guards against requests to a server that has announced that it is leaving,
// when the copy still shows it as ready.
TEST_F(TestRestoredStore, LeavingServerIsNotTakenForReady)
{
  mStore.Write(kServers, kServer.Text(), Entry("ready", 1));
  ASSERT_TRUE(AwaitStage(server_stage::Ready));
  mStore.Copy();
  mStore.Write(kServers, kServer.Text(), Entry("draining", 2));
  ASSERT_TRUE(AwaitStage(server_stage::Leaving));
  mStore.Restore();
  steady_clock::time_point const end =
    steady_clock::now() + milliseconds{ 900 };
  while (steady_clock::now() < end) {
    for (std::unique_ptr<test_instance> const& instance : mInstances)
      ASSERT_EQ(instance->StageOf(kServer), server_stage::Leaving);
    std::this_thread::sleep_for(milliseconds{ 10 });
  }
}

// Guards against requests to a server that has been dropped, and whose entry
// the copy shows again, until the server itself writes one.
TEST_F(TestRestoredStore, DroppedServerComesBackWithANewEntryOnly)
{
  mStore.Write(kServers, kServer.Text(), Entry("ready", 1));
  ASSERT_TRUE(AwaitStage(server_stage::Ready));
  mStore.Copy();
  mStore.Write(kServers, kServer.Text(), {});
  ASSERT_TRUE(AwaitStage(std::nullopt));
  mStore.Restore();
  steady_clock::time_point const end =
    steady_clock::now() + milliseconds{ 900 };
  while (steady_clock::now() < end) {
    for (std::unique_ptr<test_instance> const& instance : mInstances)
      ASSERT_EQ(instance->StageOf(kServer), std::nullopt);
    std::this_thread::sleep_for(milliseconds{ 10 });
  }
  mStore.Write(kServers, kServer.Text(), Entry("ready", 2));
  EXPECT_TRUE(AwaitStage(server_stage::Ready));
}

// Guards against a live server that gets no requests because the copy is older
// than its registration.
TEST_F(TestRestoredStore, ServerThatTheCopyLacksStaysUntilItWritesAgain)
{
  mStore.Copy();
  mStore.Write(kServers, kServer.Text(), Entry("ready", 1));
  ASSERT_TRUE(AwaitStage(server_stage::Ready));
  mStore.Restore();
  mStore.Write(kServers, "engine-2", Entry("ready", 1));
  ASSERT_TRUE(Await([](test_instance const& aInstance) {
    return aInstance.StageOf(backend_server_id{ "engine-2" }).has_value();
  }));
  for (std::unique_ptr<test_instance> const& instance : mInstances)
    EXPECT_EQ(instance->StageOf(kServer), server_stage::Ready);
  EXPECT_TRUE(AwaitStage(std::nullopt));
}

// Guards against instances that those that start later can't find.
TEST_F(TestRestoredStore, InstancesRegisterAgain)
{
  for (char const* const name : { "entry-1", "entry-2" })
    mStore.Write(kInstances, name, "{}");
  mStore.Copy();
  mStore.Restore();
  EXPECT_TRUE(AwaitStore([this]() {
    std::map<std::string, std::string> const entries =
      mStore.Newest(kInstances);
    return entries.at("entry-1") != "{}" && entries.at("entry-2") != "{}";
  }));
}

}
}

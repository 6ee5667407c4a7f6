#include "StoreFixture.h"

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

class TestRestoredStore : public store_fixture
{};

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

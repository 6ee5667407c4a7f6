#include "StoreFixture.h"

#include <string>
#include <thread>
#include <vector>

namespace lycheeseam {

namespace {

class TestStreamSoftware : public store_fixture
{
protected:
  static std::string EntryOf(char const* aSoftware, char const* aState)
  {
    return R"({"service": "p", "addr": "127.0.0.1:9", "zone": "z", "slots": 4,
               "born": 7, "seq": 1, "version": ")" +
           std::string{ aSoftware } + R"(", "state": ")" + aState + "\"}";
  }

  bool AwaitSoftware(std::vector<pool_software> const& aSoftware)
  {
    return Await([&aSoftware](test_instance const& aInstance) {
      return aInstance.Software() == aSoftware;
    });
  }

  void RestartAll()
  {
    mInstances.clear();
    for (char const* const name : { "entry-1", "entry-2" })
      mInstances.push_back(
        std::make_unique<test_instance>(name, mStore.Address()));
  }

  pool_software const mOld{ pool_name{ "p" }, software_version{ "v1" } };
  pool_software const mNew{ pool_name{ "p" }, software_version{ "v2" } };
};

TEST_F(TestStreamSoftware, SoftwareOfAllServersIsKnown)
{
  mStore.Write(kServers, "a", EntryOf("v1", "ready"));
  EXPECT_TRUE(AwaitSoftware({ mOld }));
  mStore.Write(kServers, "b", EntryOf("v2", "ready"));
  EXPECT_TRUE(AwaitSoftware({ mOld, mNew }));
}

// Guards against a resumed stream that goes on at the newer software because
// the servers with the older one left while all instances were down.
TEST_F(TestStreamSoftware, SoftwareThatIsGoneIsKnownAfterARestartOfAll)
{
  mStore.Write(kServers, "a", EntryOf("v1", "ready"));
  ASSERT_TRUE(AwaitSoftware({ mOld }));
  ASSERT_TRUE(AwaitStore([this]() {
    return mStore.Newest("keyed.software")["used"].find("v1") !=
           std::string::npos;
  }));
  mInstances.clear();
  mStore.Write(kServers, "a", {});
  mStore.Write(kServers, "b", EntryOf("v2", "ready"));
  RestartAll();
  EXPECT_TRUE(AwaitSoftware({ mOld, mNew }));
}

// Guards against refusing all resumptions after a restart of all instances.
TEST_F(TestStreamSoftware, OriginsOfStreamsAreKnownAfterARestartOfAll)
{
  mStore.Write(kServers, "a", EntryOf("v1", "ready"));
  mStore.Write(kServers, "b", EntryOf("v2", "ready"));
  ASSERT_TRUE(AwaitSoftware({ mOld, mNew }));
  stream_origin const first{ 7, software_version{ "v1" } };
  stream_origin const second{ 9, software_version{ "v2" } };
  mInstances[0]->Begin(first);
  mInstances[1]->Begin(second);
  ASSERT_TRUE(AwaitStore([&]() {
    return mInstances[0]->Knows(second) && mInstances[1]->Knows(first);
  }));
  std::this_thread::sleep_for(std::chrono::seconds{ 1 });
  RestartAll();
  EXPECT_TRUE(Await([&](test_instance const& aInstance) {
    return aInstance.Knows(first) && aInstance.Knows(second);
  }));
}

// Guards against refusing resumptions after the store came back from a copy
// without the origins, and all instances restarted later.
TEST_F(TestStreamSoftware, OriginsAreWrittenAgainAfterARestore)
{
  mStore.Write(kServers, "a", EntryOf("v1", "ready"));
  mStore.Write(kServers, "b", EntryOf("v2", "ready"));
  ASSERT_TRUE(AwaitSoftware({ mOld, mNew }));
  mStore.Copy();
  stream_origin const origin{ 7, software_version{ "v1" } };
  mInstances[0]->Begin(origin);
  ASSERT_TRUE(AwaitStore([&]() { return mInstances[1]->Knows(origin); }));
  std::this_thread::sleep_for(std::chrono::seconds{ 1 });
  mStore.Restore();
  std::this_thread::sleep_for(std::chrono::seconds{ 2 });
  RestartAll();
  EXPECT_TRUE(Await(
    [&](test_instance const& aInstance) { return aInstance.Knows(origin); }));
}

}

}

#include "StoreFixture.h"

#include <string>
#include <vector>

namespace lycheeseam {
namespace {

class TestOddEntries : public store_fixture
{};

std::string
Repeated(std::string const& aText, int aTimes)
{
  std::string repeated;
  for (int index = 0; index < aTimes; ++index)
    repeated += aText;
  return repeated;
}

std::string
WithReplacement(std::string const& aFrom, std::string const& aTo)
{
  std::string text = Entry("ready", 1);
  text.replace(text.find(aFrom), aFrom.size(), aTo);
  return text;
}

// Entries of another writer that name no server to use.
std::vector<std::string>
OddEntries()
{
  constexpr int kDepth = 100'000;
  std::string const nested =
    Repeated("[", kDepth) + "1" + Repeated("]", kDepth);
  return {
    WithReplacement(R"("zone": "z")", R"("zone": )" + nested),
    WithReplacement(R"("slots": 4)", R"("models": )" + nested),
    nested,
    Repeated("{\"a\":", kDepth),
    WithReplacement(R"("slots": 4)", R"("slots": 1e999)"),
    WithReplacement(R"("slots": 4)", R"("slots": 99999999999999999999999)"),
    WithReplacement(R"("slots": 4)", R"("slots": 4294967296)"),
    WithReplacement(R"("born": 7)", R"("born": 1e300)"),
    WithReplacement(R"("born": 7)", R"("born": -7)"),
    WithReplacement(R"("seq": 1)", R"("seq": 1e300)"),
    WithReplacement("127.0.0.1:9", "127.0.0.1:65536"),
    WithReplacement("127.0.0.1:9", "127.0.0.1:0"),
    WithReplacement("127.0.0.1:9", "127.0.0.1:99999999999999999999"),
    WithReplacement(R"("service": "p")", "\"service\": \"\xff\xfe\""),
    "\xff\x01",
    "0",
  };
}

// Guards against an entry among those of the servers that ends the process or
// the reading of the list.
TEST_F(TestOddEntries, OthersAreFollowedAndOddOnesNameNoServer)
{
  int count = 0;
  for (std::string const& odd : OddEntries()) {
    std::string const name = std::to_string(count++);
    mStore.Write(kServers, "odd-" + name, odd);
    mStore.Write(kServers, "good-" + name, Entry("ready", 1));
  }
  // Its name would end a header field of the requests to it.
  mStore.Write(kServers, "odd\r\nname", Entry("ready", 1));
  ASSERT_TRUE(Await([count](test_instance const& aInstance) {
    return aInstance.ServerCount() == static_cast<std::size_t>(count);
  }));
  // An odd entry under the name of a server that is in use.
  mStore.Write(kServers, "good-0", OddEntries()[0]);
  mStore.Write(kServers, "last", Entry("ready", 1));
  ASSERT_TRUE(Await([](test_instance const& aInstance) {
    return aInstance.StageOf(backend_server_id{ "last" }).has_value();
  }));
  for (std::unique_ptr<test_instance> const& instance : mInstances) {
    EXPECT_EQ(instance->ServerCount(), static_cast<std::size_t>(count) + 1);
    for (int index = 0; index < count; ++index)
      EXPECT_TRUE(instance->StageOf(
        backend_server_id{ "good-" + std::to_string(index) }));
  }
}

// The same entries are in the list that an instance reads when it starts.
TEST_F(TestOddEntries, InstanceThatStartsReadsTheOthers)
{
  for (std::string const& odd : OddEntries())
    mStore.Write(kServers, "odd-" + std::to_string(odd.size()), odd);
  mStore.Write(kServers, "good", Entry("ready", 1));
  mInstances.push_back(
    std::make_unique<test_instance>("entry-3", mStore.Address()));
  EXPECT_TRUE(Await([](test_instance const& aInstance) {
    return aInstance.StageOf(backend_server_id{ "good" }).has_value();
  }));
  EXPECT_EQ(mInstances.back()->ServerCount(), 1U);
}

}
}

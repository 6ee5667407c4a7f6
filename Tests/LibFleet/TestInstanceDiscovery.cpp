#include "StoreFixture.h"

namespace lycheeseam {

namespace {

class TestInstanceDiscovery : public store_fixture
{
protected:
  // Both instances, the second one of which is registered after the first has
  // read the topic, find each other after refused reads.
  void SetUp() override
  {
    mStore.RefuseReads(kInstances, 4);
    store_fixture::SetUp();
  }
};

// Guards against an instance that is alone for 20 s because one read of the
// other instances failed.
TEST_F(TestInstanceDiscovery, RefusedReadOfTheInstancesIsRepeatedSoon)
{
  EXPECT_TRUE(Await(
    [](test_instance const& aInstance) { return aInstance.PeerCount() == 1; }));
}

}

}

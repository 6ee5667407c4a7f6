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

class TestRestartedInstance : public store_fixture
{
protected:
  // Waits until each instance hears of aCount others no more.
  bool AwaitSilentPeers(std::size_t aCount)
  {
    return AwaitStore([this, aCount]() {
      return std::all_of(
        mInstances.begin(), mInstances.end(), [aCount](auto const& aInstance) {
          aInstance->Report();
          return aInstance->SilentPeerCount() == aCount;
        });
    });
  }
};

// Guards against an instance that no peer reports any more once it has
// restarted, as the time of day was ahead at its start before.
TEST_F(TestRestartedInstance, PeersTakeItBackWhateverItsNumber)
{
  ASSERT_TRUE(AwaitSilentPeers(0));
  for (std::uint64_t const number : { 5, 2, 3 }) {
    mInstances.pop_back();
    ASSERT_TRUE(AwaitSilentPeers(1));
    mInstances.push_back(std::make_unique<test_instance>(
      "entry-2", mStore.Address(), incarnation{ number }));
    ASSERT_TRUE(AwaitSilentPeers(0)) << number;
  }
}

}

}

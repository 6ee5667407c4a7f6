#include "StoreFixture.h"
#include <LibFleet/LaggingPeers.h>

namespace lycheeseam {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kAllReads = 1'000'000;

class TestLaggingPeers : public store_fixture
{};

// Guards against a configuration that is late on an instance which missed its
// record and can't read it, while its peers have it.
TEST_F(TestLaggingPeers, InstanceThatCannotReadTheStoreLearnsFromPeers)
{
  mStore.Write(kOperators, "config", Config(2));
  ASSERT_TRUE(AwaitVersion(2));
  mStore.RefuseReads(kOperators, kAllReads);
  mInstances.push_back(
    std::make_unique<test_instance>("entry-3", mStore.Address()));
  test_instance& started = *mInstances.back();
  EXPECT_TRUE(AwaitStore([&started]() {
    // The traffic thread reports several times a second.
    started.Begin({ 7, software_version{ "v1" } });
    return started.ConfigVersion() == 2;
  }));
}

instant const kNow = instant{} + seconds{ 100 };
instance_id const kPeer{ "peer" };
constexpr store_position kOwnEnd{ store_era{}, 6 };
constexpr store_position kPeerEnd{ store_era{}, 5 };

// The records that a peer lacks may be under way to it.
TEST(TestLaggingPeersDecision, PeerThatLagsForAMomentIsSentNothing)
{
  lagging_peers lagging;
  EXPECT_FALSE(lagging.IsSnapshotDue(kNow, kPeer, kPeerEnd, kOwnEnd));
  EXPECT_FALSE(lagging.IsSnapshotDue(
    kNow + milliseconds{ 150 }, kPeer, kPeerEnd, kOwnEnd));
  EXPECT_FALSE(
    lagging.IsSnapshotDue(kNow + seconds{ 1 }, kPeer, kOwnEnd, kOwnEnd));
  EXPECT_FALSE(
    lagging.IsSnapshotDue(kNow + seconds{ 2 }, kPeer, kPeerEnd, kOwnEnd));
}

TEST(TestLaggingPeersDecision, PeerThatLagsForLongIsSentASnapshotNowAndThen)
{
  lagging_peers lagging;
  int sent = 0;
  for (milliseconds at{}; at < seconds{ 4 }; at += milliseconds{ 150 })
    sent += lagging.IsSnapshotDue(kNow + at, kPeer, kPeerEnd, kOwnEnd) ? 1 : 0;
  EXPECT_GE(sent, 3);
  EXPECT_LE(sent, 5);
}

}

}

#include <LibDispatch/TunnelPeers.h>

#include <gtest/gtest.h>

namespace lycheeseam {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

instant const kNow = instant{} + seconds{ 100 };

ready_instance
Instance(char const* aName, std::uint16_t aPort = 1)
{
  return { .mInstance = instance_id{ aName },
           .mTunnels = { .mAddress = "10.0.0.1", .mPort = aPort } };
}

class TestTunnelPeers : public testing::Test
{
protected:
  TestTunnelPeers()
  {
    std::vector<ready_instance> const ready{ Instance("a"),
                                             Instance("b"),
                                             Instance("self"),
                                             Instance("c"),
                                             Instance("none", 0) };
    mPeers.Update(ready);
  }

  // The peers in the order in which one request asks them.
  std::vector<instance_id> Order(instant aNow)
  {
    std::set<instance_id> tried;
    std::vector<instance_id> order;
    while (ready_instance const* const peer = mPeers.Choose(aNow, tried)) {
      order.push_back(peer->mInstance);
      tried.insert(peer->mInstance);
    }
    return order;
  }

  tunnel_peers mPeers{ instance_id{ "self" } };
};

TEST_F(TestTunnelPeers, EveryOtherInstanceThatOpensTunnelsIsAskedOnce)
{
  std::vector<instance_id> order = Order(kNow);
  std::sort(order.begin(), order.end());
  EXPECT_EQ(order,
            (std::vector{
              instance_id{ "a" }, instance_id{ "b" }, instance_id{ "c" } }));
}

// Guards against requests that first ask peers without a way to the servers,
// and against all of them going through the one peer that opened a tunnel
// first.
TEST_F(TestTunnelPeers, OnePeerThatOpenedATunnelAlternatesWithUnknownOnes)
{
  mPeers.OnFailed(kNow, instance_id{ "a" });
  mPeers.OnOpened(kNow, instance_id{ "c" });
  std::map<instance_id, int> first;
  constexpr int kRequests = 6;
  for (int request = 0; request < kRequests; ++request) {
    std::vector<instance_id> const order = Order(kNow + milliseconds{ 100 });
    ASSERT_EQ(order.size(), 3U);
    ++first[order.front()];
    EXPECT_EQ(order.back(), instance_id{ "a" });
  }
  EXPECT_EQ(first[instance_id{ "c" }], kRequests / 2);
  EXPECT_EQ(first[instance_id{ "b" }], kRequests / 2);
}

TEST_F(TestTunnelPeers, EnoughPeersThatOpenedTunnelsComeBeforeUnknownOnes)
{
  std::vector<ready_instance> const ready{
    Instance("a"), Instance("b"), Instance("c"), Instance("d"), Instance("e")
  };
  mPeers.Update(ready);
  for (char const* const peer : { "a", "b", "c" })
    mPeers.OnOpened(kNow, instance_id{ peer });
  mPeers.OnFailed(kNow, instance_id{ "e" });
  for (int request = 0; request < 6; ++request) {
    std::vector<instance_id> const order = Order(kNow + milliseconds{ 100 });
    ASSERT_EQ(order.size(), 5U);
    EXPECT_EQ(order[3], instance_id{ "d" });
    EXPECT_EQ(order[4], instance_id{ "e" });
  }
}

// Guards against one peer that carries the requests of all that are cut off.
TEST_F(TestTunnelPeers, PeersThatOpenTunnelsAreUsedInTurn)
{
  std::map<instance_id, int> used;
  for (char const* const peer : { "a", "b", "c" })
    mPeers.OnOpened(kNow, instance_id{ peer });
  constexpr int kRounds = 10;
  for (int request = 0; request < 3 * kRounds; ++request)
    ++used[mPeers.Choose(kNow, {})->mInstance];
  for (char const* const peer : { "a", "b", "c" })
    EXPECT_EQ(used[instance_id{ peer }], kRounds) << peer;
}

// Guards against instances without any path while several peers stop at a time,
// and against tunnels through a peer that stops while others are ready.
TEST_F(TestTunnelPeers, PeersThatStopAreAskedAfterThoseThatAreReady)
{
  mPeers.Update(std::vector{ Instance("a"), Instance("b") },
                std::vector{ Instance("stopping"), Instance("self") });
  mPeers.OnOpened(kNow, instance_id{ "stopping" });
  mPeers.OnFailed(kNow, instance_id{ "b" });
  for (int request = 0; request < 4; ++request)
    EXPECT_EQ(Order(kNow + milliseconds{ 100 }),
              (std::vector{ instance_id{ "a" },
                            instance_id{ "stopping" },
                            instance_id{ "b" } }));
  mPeers.Update({}, std::vector{ Instance("stopping") });
  EXPECT_EQ(Order(kNow), std::vector{ instance_id{ "stopping" } });
  EXPECT_EQ(mPeers.Count(), 1U);
}

TEST_F(TestTunnelPeers, PeerThatIsNotReadyIsNotAsked)
{
  mPeers.OnOpened(kNow, instance_id{ "a" });
  mPeers.Update(std::vector{ Instance("b") });
  EXPECT_EQ(Order(kNow), std::vector{ instance_id{ "b" } });
}

}

}

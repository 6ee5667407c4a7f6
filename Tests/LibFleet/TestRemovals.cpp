#include "FollowerFixture.h"
#include "RecordedRelay.h"
#include <LibPeer/PeerCodec.h>

#include <optional>
#include <vector>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;

/// Both instances know two servers. One of them is removed while the instance
/// that reads the store restarts: it reads what the store holds then, and none
/// of its relays arrives before its links are open.
class TestRemovals : public TestServerRelays
{
protected:
  static inline backend_server_id const kStaying{ "engine-2" };

  void SetUp() override
  {
    Write("ready", 1);
    mStore.Write(kServers, kStaying.Text(), Entry("ready", 1));
    Relay();
    ASSERT_TRUE(mOther.Knows(kServer));
    mStore.Write(kServers, kServer.Text(), {});
    mRestarted.Run(milliseconds{ 100 }, false);
    (void)mRestarted.TakeRelays();
  }

  void ExpectRemoved()
  {
    EXPECT_FALSE(mOther.Knows(kServer));
    EXPECT_TRUE(mOther.Knows(kStaying));
    EXPECT_EQ(mOther.End(), mRestarted.End());
  }

  static void Send(follower const& aFrom, follower& aTo)
  {
    for (topic_relay const& relay : aFrom.RelaysFor(aTo.End()))
      (void)aTo.Apply(relay);
  }

  follower mRestarted{ mStore.Address() };
};

// Guards against requests to a server that was removed while the instance that
// reads for all restarts: it never knew the server, so that a range of its
// records lacks the removal.
TEST_F(TestRemovals, RemovalWhileTheReaderRestartsReachesItsPeers)
{
  Send(mRestarted, mOther);
  ExpectRemoved();
}

// The same for a peer that got all it knows from the restarted instance.
TEST_F(TestRemovals, RemovalReachesPeersOfAnInstanceThatStartedFromRelays)
{
  follower started{ mStore.Address() };
  Send(mRestarted, started);
  ASSERT_TRUE(started.Knows(kStaying));
  Send(started, mOther);
  ExpectRemoved();
}

// The same for an instance that can no longer read the records that it lacks,
// and that its peers took for one that knows nothing.
TEST_F(TestRemovals, RemovalReachesAnInstanceThatTheStoreHasNoHistoryFor)
{
  constexpr int kManyReads = 1'000;
  mStore.DropHistory(kServers, kManyReads);
  mOther.Run(milliseconds{ 450 }, false);
  ASSERT_TRUE(mOther.Knows(kServer));
  Send(mRestarted, mOther);
  ExpectRemoved();
}

// Guards against a range that was meant for an instance that knows nothing.
TEST_F(TestRemovals, RangeThatMayLackARemovalIsNotTaken)
{
  store_position const known = mOther.End();
  for (topic_relay const& relay : mRestarted.RelaysFor({})) {
    EXPECT_FALSE(relay.mIsSnapshot);
    EXPECT_TRUE(mOther.Apply(relay));
  }
  EXPECT_EQ(mOther.End(), known);
  Send(mRestarted, mOther);
  ExpectRemoved();
}

// Guards against full copies for peers that have followed the topic for as long
// as the reader.
TEST_F(TestRemovals, LaterRemovalIsSentAlone)
{
  Send(mRestarted, mOther);
  mStore.Write(kServers, kStaying.Text(), {});
  mRestarted.Run(milliseconds{ 450 }, false);
  std::vector<topic_relay> const relays = mRestarted.RelaysFor(mOther.End());
  ASSERT_EQ(relays.size(), 1U);
  EXPECT_FALSE(relays[0].mIsSnapshot);
  EXPECT_EQ(relays[0].mRecords.size(), 1U);
  EXPECT_TRUE(mOther.Apply(relays[0]));
  EXPECT_FALSE(mOther.Knows(kStaying));
}

// Guards against an instance that passes on the ranges of an older build, which
// may lack removals, as complete.
TEST_F(TestRemovals, RangesOfOlderBuildsAreNotSentOn)
{
  std::optional<peer_message> const read = DecodePeerMessage(RecordedRelay());
  ASSERT_TRUE(read);
  topic_relay relay = std::get<topic_relay>(std::get<fleet_message>(*read));
  ASSERT_FALSE(relay.mCompleteFrom);
  store_position const known = mOther.End();
  relay.mEnd = known.Plus(1);
  EXPECT_TRUE(mOther.Apply(relay));
  std::vector<topic_relay> const relays = mOther.RelaysFor(known);
  ASSERT_EQ(relays.size(), 1U);
  EXPECT_TRUE(relays[0].mIsSnapshot);
}

}
}

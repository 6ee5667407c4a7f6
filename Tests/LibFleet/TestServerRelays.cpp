#include "FollowerFixture.h"
#include "RecordedRelay.h"
#include <LibPeer/FrameHeader.h>
#include <LibPeer/PeerCodec.h>

#include <span>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;

std::size_t
CountRecords(std::span<topic_relay const> aRelays)
{
  std::size_t records = 0;
  for (topic_relay const& relay : aRelays)
    records += relay.mIsSnapshot ? 0 : relay.mRecords.size();
  return records;
}

// Guards against links that are full of heartbeats in which nothing has changed
// but a count, and against receivers that read the store because of a gap.
TEST_F(TestServerRelays, HeartbeatsAreLeftOutAndTheEndIsSent)
{
  Write("ready", 1);
  Relay();
  for (int count = 2; count < 7; ++count)
    Write("ready", count);
  EXPECT_EQ(CountRecords(Relay()), 0U);
  EXPECT_EQ(mOther.End(), (store_position{ store_era{ 1 }, 6 }));
  EXPECT_EQ(mReader.Entries(), 6U);
}

// Guards against requests to a server that was dropped and that an older copy
// of the store shows with a count that was left out.
TEST_F(TestServerRelays, DroppedServerStaysAwayAfterARestore)
{
  Write("ready", 1);
  Relay();
  for (int count = 2; count < 7; ++count)
    Write("ready", count);
  Relay();
  mStore.Copy();
  Write("ready", 8);
  Relay();
  mStore.Write(kServers, kServer.Text(), {});
  Relay();
  ASSERT_EQ(mOther.Entries(), std::nullopt);
  mStore.Restore();
  Relay();
  EXPECT_EQ(mReader.Entries(), std::nullopt);
  EXPECT_EQ(mOther.Entries(), std::nullopt);
  Write("ready", 9);
  Relay();
  EXPECT_EQ(mOther.Entries(), 9U);
}

// Guards against a running server that one instance has lost because another
// server once answered at its address: its next entries are left out.
TEST_F(TestServerRelays, RemovedServerThatWritesAgainComesBack)
{
  Write("ready", 1);
  Relay();
  Write("ready", 2);
  ASSERT_TRUE(mOther.OnAddressTaken({ kServer, incarnation{ 7 } }));
  Relay();
  ASSERT_EQ(mOther.Entries(), std::nullopt);
  Write("ready", 3);
  Relay();
  mOther.Run(milliseconds{ 1'600 }, true);
  EXPECT_EQ(mOther.Entries(), 3U);
}

// Guards against a server that comes back by an entry that it wrote before it
// was removed, and that was left out then.
TEST_F(TestServerRelays, RemovedServerDoesNotComeBackByAnEarlierEntry)
{
  Write("ready", 1);
  Relay();
  Write("ready", 2);
  Relay();
  ASSERT_TRUE(mOther.OnAddressTaken({ kServer, incarnation{ 7 } }));
  mOther.Run(milliseconds{ 1'600 }, true);
  EXPECT_EQ(mOther.Entries(), std::nullopt);
}

// Guards against all instances reading all servers when all start.
TEST_F(TestServerRelays, StartingInstanceGetsTheServersFromAPeer)
{
  Write("ready", 1);
  mReader.Run(milliseconds{ 450 }, false);
  for (topic_relay const& relay : mReader.RelaysFor({}))
    EXPECT_TRUE(mOther.Apply(relay));
  EXPECT_EQ(mOther.Entries(), 1U);
  EXPECT_EQ(mOther.End(), mReader.End());
}

// Guards against an instance that lost a relay and stays behind, and against
// one that reads the store before its peers could send what it lacks.
TEST_F(TestServerRelays, LaggingInstanceGetsWhatItLacksFromAPeer)
{
  Write("ready", 1);
  Relay();
  mOther.Run(milliseconds{ 20 }, true);
  store_position const known = mOther.End();
  Write("draining", 2);
  mReader.Run(milliseconds{ 450 }, false);
  (void)mReader.TakeRelays();
  Write("ready", 3);
  Relay();
  EXPECT_EQ(mOther.End(), known);
  mOther.Run(milliseconds{ 400 }, true);
  EXPECT_EQ(mOther.End(), known);
  for (topic_relay const& relay : mReader.RelaysFor(known)) {
    EXPECT_FALSE(relay.mIsSnapshot);
    EXPECT_TRUE(mOther.Apply(relay));
  }
  EXPECT_EQ(mOther.End(), mReader.End());
  EXPECT_EQ(mOther.Entries(), 3U);
}

// Guards against an instance that no peer sends what it lacks.
TEST_F(TestServerRelays, LaggingInstanceReadsTheStoreAfterAWhile)
{
  Write("ready", 1);
  Relay();
  Write("draining", 2);
  mReader.Run(milliseconds{ 450 }, false);
  (void)mReader.TakeRelays();
  for (int count = 3; count < 6; ++count) {
    Write("ready", 2 * count);
    Relay();
    Write("draining", 2 * count + 1);
    Relay();
    mOther.Run(milliseconds{ 100 }, true);
  }
  EXPECT_EQ(mOther.End(), mReader.End());
}

// What topic_reader, topic_state and relay_filter did with a relay at commit
// 2e58af3.
class old_receiver
{
public:
  explicit old_receiver(store_position aNext)
    : mNext(aNext)
  {
  }

  // True when records are missing, so that the store is read.
  bool Apply(topic_relay const& aRelay)
  {
    mIsPassedOn = false;
    if (!aRelay.mIsSnapshot && aRelay.mFrom > mNext)
      return true;
    if (!aRelay.mIsSnapshot && aRelay.mEnd <= mNext)
      return false;
    mNext = std::max(mNext, aRelay.mEnd);
    mIsPassedOn =
      !mState.Apply({ .mRecords = aRelay.mRecords, .mEnd = aRelay.mEnd }, false)
         .empty();
    return false;
  }

  [[nodiscard]] store_position Next() const { return mNext; }
  [[nodiscard]] bool IsPassedOn() const { return mIsPassedOn; }

private:
  store_position mNext;
  topic_state mState;
  bool mIsPassedOn = false;
};

// Guards against instances of an older build that read the store again and
// again, because they or their parents don't pass on relays without records.
TEST_F(TestServerRelays, OlderBuildsFollowRelays)
{
  Write("ready", 1);
  Relay();
  old_receiver root{ mReader.End() };
  old_receiver child{ mReader.End() };
  for (int count = 2; count < 10; ++count) {
    Write(count % 3 == 0 ? "draining" : "ready", count);
    for (topic_relay const& relay : Relay(milliseconds{ 420 })) {
      encoded_frame const frame = EncodePeerMessage(fleet_message{ relay });
      std::optional<peer_message> const read =
        DecodePeerMessage(std::span{ *frame }.subspan(kFrameHeaderBytes));
      ASSERT_TRUE(read);
      topic_relay const arrived =
        std::get<topic_relay>(std::get<fleet_message>(*read));
      ASSERT_EQ(arrived, relay);
      EXPECT_FALSE(root.Apply(arrived)) << count;
      if (root.IsPassedOn()) {
        EXPECT_FALSE(child.Apply(arrived)) << count;
      }
    }
  }
  EXPECT_EQ(root.Next(), mReader.End());
}

// Guards against instances that can't follow a reader of an older build.
TEST_F(TestServerRelays, RelayOfAnOlderBuildIsRead)
{
  std::optional<peer_message> const read = DecodePeerMessage(RecordedRelay());
  ASSERT_TRUE(read);
  topic_relay const relay =
    std::get<topic_relay>(std::get<fleet_message>(*read));
  EXPECT_EQ(relay.mFrom, (store_position{ store_era{ 1 }, 1 }));
  Write("ready", 1);
  Relay();
  ASSERT_EQ(mOther.Entries(), 1U);
  EXPECT_TRUE(mOther.Apply(relay));
  EXPECT_EQ(mOther.Entries(), 2U);
  EXPECT_EQ(mOther.End(), (store_position{ store_era{ 1 }, 2 }));
}

}
}

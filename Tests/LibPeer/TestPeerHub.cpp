#include <Tests/LibPeer/HubPeer.h>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using tcp = boost::asio::ip::tcp;

// Runs the event loop until the condition holds; false if it still doesn't
// after kSteps steps of one event or 10 ms each.
template<typename Condition>
bool
RunUntil(boost::asio::io_context& aContext, Condition aCondition)
{
  constexpr int kSteps = 2000;
  for (int i = 0; i < kSteps && !aCondition(); ++i)
    aContext.run_one_for(milliseconds{ 10 });
  return aCondition();
}

std::uint64_t
Closed(hub_peer const& aPeer, link_close_reason aReason)
{
  return aPeer.mHub.Counters().mClosed[static_cast<std::size_t>(aReason)];
}

// A plain TCP connection, which can send what a hub never sends.
class raw_peer
{
public:
  raw_peer(boost::asio::io_context& aContext, hub_peer const& aPeer)
    : mSocket(aContext)
  {
    mSocket.connect({ boost::asio::ip::make_address("127.0.0.1"),
                      aPeer.Contact().mAddress.mPort });
  }

  void Send(std::span<std::uint8_t const> aBytes)
  {
    boost::asio::write(mSocket,
                       boost::asio::buffer(aBytes.data(), aBytes.size()));
  }

  void Send(peer_message const& aMessage)
  {
    Send(*EncodePeerMessage(aMessage));
  }

private:
  tcp::socket mSocket;
};

class peer_hub_test : public testing::Test
{
protected:
  void Link(hub_peer& aFrom, hub_peer& aTo)
  {
    aFrom.SetPeer(aTo.Contact());
    ASSERT_TRUE(RunUntil(
      mContext, [&]() { return !aFrom.mUp.empty() && !aTo.mUp.empty(); }));
  }

  boost::asio::io_context mContext;
};

TEST_F(peer_hub_test, DeliversMessagesInOrderInBothDirections)
{
  hub_peer first{ mContext, "a", 1 };
  hub_peer second{ mContext, "b", 1 };
  Link(first, second);
  constexpr std::uint64_t kCount = 500;
  for (std::uint64_t i = 0; i < kCount; ++i) {
    snapshot_request const request{ .mNumber = snapshot_number{ i } };
    EXPECT_EQ(first.mHub.Send(instance_id{ "b" }, request),
              send_result::Queued);
  }
  second.mHub.Broadcast(drain_notice{ .mAcceptsFor = milliseconds{ 7 } });
  ASSERT_TRUE(RunUntil(mContext, [&]() {
    return second.mMessages.size() >= kCount && !first.mMessages.empty();
  }));
  for (std::uint64_t i = 0; i < kCount; ++i)
    EXPECT_EQ(std::get<snapshot_request>(second.mMessages[i]).mNumber.Value(),
              i);
  EXPECT_EQ(first.mMessages[0],
            peer_message{ drain_notice{ .mAcceptsFor = milliseconds{ 7 } } });
}

TEST_F(peer_hub_test, KeepsOneLinkWhenBothDial)
{
  hub_peer first{ mContext, "a", 1 };
  hub_peer second{ mContext, "b", 1 };
  first.SetPeer(second.Contact());
  second.SetPeer(first.Contact());
  ASSERT_TRUE(RunUntil(mContext, [&]() {
    return Closed(first, link_close_reason::Duplicate) +
             Closed(second, link_close_reason::Duplicate) >
           0;
  }));
  EXPECT_EQ(first.mUp.size(), 1u);
  EXPECT_EQ(second.mUp.size(), 1u);
  EXPECT_TRUE(first.mDown.empty());
  EXPECT_EQ(first.mHub.Send(instance_id{ "b" }, drain_notice{}),
            send_result::Queued);
  EXPECT_TRUE(RunUntil(mContext, [&]() { return !second.mMessages.empty(); }));
}

// Guards against instances that never learn what a peer sent over a connection
// that was replaced while both dialled: for good, whether it is ready.
TEST_F(peer_hub_test, HandlerIsToldWhenALinkIsReplaced)
{
  hub_peer first{ mContext, "a", 1 };
  raw_peer before{ mContext, first };
  before.Send(hub_peer::Hello("c", 1));
  ASSERT_TRUE(RunUntil(mContext, [&]() { return first.mUp.size() == 1; }));
  EXPECT_TRUE(first.mReplaced.empty());
  raw_peer after{ mContext, first };
  after.Send(hub_peer::Hello("c", 1));
  EXPECT_TRUE(
    RunUntil(mContext, [&]() { return first.mReplaced.size() == 1; }));
  EXPECT_EQ(first.mUp.size(), 1u);
  EXPECT_TRUE(first.mDown.empty());
}

TEST_F(peer_hub_test, InvalidFramesCloseOnlyTheirOwnLink)
{
  hub_peer first{ mContext, "a", 1 };
  hub_peer second{ mContext, "b", 1 };
  Link(first, second);
  raw_peer malformed{ mContext, first };
  malformed.Send(std::vector<std::uint8_t>{ 4, 0, 0, 0, 1, 2, 3, 4 });
  raw_peer oversized{ mContext, first };
  oversized.Send(std::vector<std::uint8_t>{ 0, 0, 0, 0xff });
  raw_peer empty{ mContext, first };
  empty.Send(std::vector<std::uint8_t>{ 0, 0, 0, 0 });
  raw_peer withoutHello{ mContext, first };
  withoutHello.Send(drain_notice{});
  raw_peer unresponsive{ mContext, first };
  ASSERT_TRUE(RunUntil(mContext, [&]() {
    return Closed(first, link_close_reason::MalformedFrame) == 1 &&
           Closed(first, link_close_reason::OversizedFrame) == 1 &&
           Closed(first, link_close_reason::EmptyFrame) == 1 &&
           Closed(first, link_close_reason::UnexpectedMessage) == 1 &&
           Closed(first, link_close_reason::HelloTimeout) == 1;
  }));
  EXPECT_EQ(first.mUp.size(), 1u);
  EXPECT_TRUE(first.mDown.empty());
  EXPECT_TRUE(first.mMessages.empty());
}

TEST_F(peer_hub_test, NewerIncarnationReplacesTheOlderWhichIsRefusedLater)
{
  hub_peer first{ mContext, "a", 1 };
  raw_peer older{ mContext, first };
  older.Send(hub_peer::Hello("c", 5));
  ASSERT_TRUE(RunUntil(mContext, [&]() { return first.mUp.size() == 1; }));
  raw_peer restarted{ mContext, first };
  restarted.Send(hub_peer::Hello("c", 6));
  ASSERT_TRUE(RunUntil(mContext, [&]() { return first.mUp.size() == 2; }));
  ASSERT_EQ(first.mDown.size(), 1u);
  EXPECT_EQ(first.mDown[0].mIncarnation, incarnation{ 5 });

  raw_peer delayed{ mContext, first };
  delayed.Send(hub_peer::Hello("c", 5));
  delayed.Send(drain_notice{});
  ASSERT_TRUE(RunUntil(mContext, [&]() {
    return Closed(first, link_close_reason::OlderIncarnation) == 1;
  }));
  EXPECT_TRUE(first.mMessages.empty());
}

// Guards against a link that closes as soon as it opens, over and over: the
// clock of the peer was ahead at its start before.
TEST_F(peer_hub_test, RestartedPeerWithALowerNumberStaysLinked)
{
  hub_peer first{ mContext, "a", 1 };
  std::unique_ptr<hub_peer> second =
    std::make_unique<hub_peer>(mContext, "b", 5);
  Link(first, *second);
  second->mHub.Stop();
  ASSERT_TRUE(RunUntil(mContext, [&]() { return !first.mDown.empty(); }));
  hub_peer restarted{ mContext, "b", 4 };
  restarted.SetPeer(first.Contact());
  ASSERT_TRUE(RunUntil(mContext, [&]() { return first.mUp.size() == 2; }));
  EXPECT_EQ(first.mUp[1].mIncarnation, incarnation{ 4 });
  RunUntil(mContext,
           [&]() { return first.mHub.Counters().mFramesReceived > 20; });
  EXPECT_TRUE(restarted.mDown.empty());
  EXPECT_TRUE(first.mRefused.empty());
}

TEST_F(peer_hub_test, ClosesTheLinkOfAnUnresponsivePeer)
{
  hub_peer first{ mContext, "a", 1 };
  raw_peer frozen{ mContext, first };
  frozen.Send(hub_peer::Hello("c", 1));
  ASSERT_TRUE(RunUntil(mContext, [&]() { return !first.mDown.empty(); }));
  EXPECT_EQ(first.mDownReasons[0], link_close_reason::Unresponsive);
}

TEST_F(peer_hub_test, IdlePeersStayLinked)
{
  hub_peer first{ mContext, "a", 1 };
  hub_peer second{ mContext, "b", 1 };
  Link(first, second);
  RunUntil(mContext,
           [&]() { return first.mHub.Counters().mFramesReceived > 20; });
  EXPECT_TRUE(first.mDown.empty());
  EXPECT_TRUE(second.mDown.empty());
}

TEST_F(peer_hub_test, DialsAgainAfterAPeerRestarts)
{
  hub_peer first{ mContext, "a", 1 };
  std::unique_ptr<hub_peer> second =
    std::make_unique<hub_peer>(mContext, "b", 1);
  Link(first, *second);
  endpoint const address = second->Contact().mAddress;
  second->mHub.Stop();
  ASSERT_TRUE(RunUntil(mContext, [&]() { return !first.mDown.empty(); }));
  tcp::acceptor reopened{
    mContext, { boost::asio::ip::make_address("127.0.0.1"), address.mPort }
  };
  tcp::socket accepted{ mContext };
  bool isAccepted = false;
  reopened.async_accept(
    accepted, [&](boost::system::error_code aError) { isAccepted = !aError; });
  EXPECT_TRUE(RunUntil(mContext, [&]() { return isAccepted; }));
  mContext.restart();
  mContext.poll();
}

TEST_F(peer_hub_test, DropsAndCountsMessagesBeyondTheLimits)
{
  peer_hub_options options = hub_peer::FastOptions();
  options.mMaxQueueBytes = 1 << 16;
  hub_peer first{ mContext, "a", 1, options };
  raw_peer slow{ mContext, first };
  slow.Send(hub_peer::Hello("c", 1));
  ASSERT_TRUE(RunUntil(mContext, [&]() { return !first.mUp.empty(); }));
  snapshot_answer const large{ .mState = std::string(60000, 's') };
  send_result result = send_result::Queued;
  for (int i = 0; i < 1000 && result == send_result::Queued; ++i)
    result = first.mHub.Send(instance_id{ "c" }, large);
  EXPECT_EQ(result, send_result::QueueFull);
  EXPECT_EQ(first.mHub.Counters().mDropped, 1u);
  snapshot_answer const huge{ .mState = std::string(2 << 20, 's') };
  EXPECT_EQ(first.mHub.Send(instance_id{ "c" }, huge), send_result::TooLarge);
}

}
}

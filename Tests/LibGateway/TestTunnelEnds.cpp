#include "TunnelFixture.h"
#include <LibPeer/FrameHeader.h>
#include <LibTunnel/TunnelCodec.h>

#include <array>
#include <cstdint>
#include <future>
#include <string>
#include <thread>
#include <vector>

namespace lycheeseam {

namespace {

using tcp = boost::asio::ip::tcp;

/// The head of an answer that ends with its connection.
std::string
UnsizedHead()
{
  return "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n\r\n";
}

std::vector<std::uint8_t>
ReadFrame(tcp::socket& aSocket)
{
  std::array<std::uint8_t, kFrameHeaderBytes> header{};
  boost::asio::read(aSocket, boost::asio::buffer(header));
  std::vector<std::uint8_t> content(DecodeFrameHeader(header));
  boost::asio::read(aSocket, boost::asio::buffer(content));
  return content;
}

/// A peer of an older build, for one tunnel: it knows no frames, and sends a
/// script in place of what a server answers.
class older_peer
{
public:
  explicit older_peer(std::string aAnswer)
    : mAnswer(std::move(aAnswer))
    , mAcceptor(mContext, { boost::asio::ip::make_address("127.0.0.1"), 0 })
    , mThread([this]() { Serve(); })
  {
  }
  older_peer(older_peer const&) = delete;
  older_peer& operator=(older_peer const&) = delete;

  ~older_peer()
  {
    // The connection ends a wait for a tunnel that nobody asked for.
    tcp::socket waker{ mContext };
    boost::system::error_code ignored;
    waker.connect(mAcceptor.local_endpoint(), ignored);
    waker.close(ignored);
    mThread.join();
  }

  [[nodiscard]] ready_instance Entry() const
  {
    return { .mInstance = instance_id{ "older" },
             .mTunnels = { .mAddress = "127.0.0.1",
                           .mPort = mAcceptor.local_endpoint().port() } };
  }

private:
  void Serve()
  {
    tcp::socket socket{ mContext };
    mAcceptor.accept(socket);
    // The test sees that an answer is missing.
    try {
      ServeTunnel(socket);
    } catch (boost::system::system_error const&) {
      return;
    }
  }

  void ServeTunnel(tcp::socket& aSocket) const
  {
    ReadFrame(aSocket);
    std::vector<std::uint8_t> const open =
      EncodeTunnelAnswer({ .mResult = tunnel_result::Open });
    boost::asio::write(aSocket, boost::asio::buffer(open));
    boost::asio::streambuf request;
    boost::asio::read_until(aSocket, request, "\r\n\r\nhello");
    boost::asio::write(aSocket, boost::asio::buffer(mAnswer));
  }

  std::string mAnswer;
  boost::asio::io_context mContext;
  tcp::acceptor mAcceptor;
  std::thread mThread;
};

class TestTunnelEnds : public TestTunnels
{
protected:
  // Sends a request through a peer to a server that answers and then neither
  // sends nor closes anything, and ends the peer meanwhile.
  std::string ExchangeAndEndPeer(std::string const& aPath,
                                 std::string const& aAnswer)
  {
    scripted_server server{ { aAnswer + "\v" } };
    StartCutOff(std::array{ &server });
    StartPeer("peer", mReachable);
    std::future<std::string> answer = std::async(
      std::launch::async, [this, aPath]() { return Exchange(Request(aPath)); });
    while (server.FloodBytes() == 0)
      std::this_thread::sleep_for(std::chrono::milliseconds{ 5 });
    std::this_thread::sleep_for(std::chrono::milliseconds{ 50 });
    mPeers.clear();
    return answer.get();
  }

  std::string ExchangeThroughOlderPeer(std::string const& aAnswer)
  {
    StartCutOffFrom(std::array{ FreeAddress() });
    older_peer const peer{ aAnswer };
    fleet_view view = *mView.Current();
    view.mReadyInstances.push_back(peer.Entry());
    mView.Publish(std::make_shared<fleet_view const>(std::move(view)));
    return Exchange(Request("/once/x"));
  }
};

// Guards against a part of an answer that looks complete because the peer that
// passed it on has ended: its connections then end as a server's do.
TEST_F(TestTunnelEnds, UnsizedAnswerIsNotCompleteWhenThePeerEnds)
{
  std::string const answer =
    ExchangeAndEndPeer("/once/x", UnsizedHead() + "receipt\b.");
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 502")) << answer;
}

// The same for a stream, the head of which the caller has.
TEST_F(TestTunnelEnds, UnsizedStreamIsNotCompleteWhenThePeerEnds)
{
  std::string const answer = ExchangeAndEndPeer(
    "/single/x", UnsizedHead() + "id: 1\ndata: a\n\n\b:\n\n");
  EXPECT_TRUE(Contains(answer, "id: 1\ndata: a\n\n")) << answer;
  EXPECT_FALSE(answer.ends_with("\r\n0\r\n\r\n")) << answer;
}

TEST_F(TestTunnelEnds, UnsizedAnswersAreCompleteWhenTheServerEndsThem)
{
  scripted_server server{
    { UnsizedHead() + "rec\x1e" + "eipt\a",
      UnsizedHead() + "id: 1\ndata: a\n\n\x1e" + "id: 2\ndata: b\n\n\a",
      UnsizedHead() + "\a",
      UnsizedHead() + std::string(300'000, 'x') + "\a" }
  };
  StartCutOff(std::array{ &server });
  StartPeer("peer", mReachable);
  EXPECT_TRUE(Exchange(Request("/once/x")).ends_with("\r\n\r\nreceipt"));
  std::string const stream = Exchange(Request("/single/x"));
  EXPECT_TRUE(Contains(stream, "id: 2\ndata: b\n\n")) << stream;
  EXPECT_TRUE(stream.ends_with("\r\n0\r\n\r\n")) << stream;
  EXPECT_TRUE(Contains(Exchange(Request("/once/y")), "Content-Length: 0\r\n"));
  EXPECT_TRUE(Exchange(Request("/once/z")).ends_with("\r\n0\r\n\r\n"));
}

// Guards against the same fault while an upgrade replaces instances: an older
// peer doesn't say whether the server or it has ended.
TEST_F(TestTunnelEnds, UnsizedAnswerThroughAnOlderPeerIsNeverComplete)
{
  EXPECT_TRUE(ExchangeThroughOlderPeer(UnsizedHead() + "receipt")
                .starts_with("HTTP/1.1 502"));
}

TEST_F(TestTunnelEnds, SizedAnswerThroughAnOlderPeerIsComplete)
{
  EXPECT_TRUE(
    ExchangeThroughOlderPeer(Answer("receipt")).ends_with("\r\n\r\nreceipt"));
}

// Guards against frames that an older instance would take for an answer.
TEST_F(TestTunnelEnds, OlderInstanceReceivesTheBytesOfTheServer)
{
  scripted_server server{ { UnsizedHead() + "receipt\a" } };
  StartCutOff(std::array{ &server });
  peer_instance const& peer = StartPeer("peer", mReachable);
  endpoint const to = peer.Entry().mTunnels;
  boost::asio::io_context context;
  tcp::socket socket{ context };
  socket.connect({ boost::asio::ip::make_address(to.mAddress), to.mPort });
  std::vector<std::uint8_t> const request = EncodeTunnelRequest(
    { .mServer = { .mServer = mReachable.mServers[0].mId } });
  boost::asio::write(socket, boost::asio::buffer(request));
  EXPECT_EQ(DecodeTunnelAnswer(ReadFrame(socket)),
            (tunnel_answer{ .mResult = tunnel_result::Open }));
  boost::asio::write(socket, boost::asio::buffer(Request("/once/x")));
  std::string answer;
  boost::system::error_code fault;
  boost::asio::read(socket, boost::asio::dynamic_buffer(answer), fault);
  EXPECT_EQ(answer, UnsizedHead() + "receipt");
}

}

}

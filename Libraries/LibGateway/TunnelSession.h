#pragma once

#include <LibEvents/EventLog.h>
#include <LibGateway/AnswerHeadObserver.h>
#include <LibGateway/ConnectTimeout.h>
#include <LibGateway/DiscardUntilEnd.h>
#include <LibGateway/TrafficCore.h>
#include <LibGateway/TunnelPump.h>
#include <LibHttp/WatchLiveness.h>
#include <LibPeer/FrameHeader.h>
#include <LibPeer/FrameReader.h>
#include <LibTunnel/TunnelCodec.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

namespace lycheeseam {

/// A connection of a peer that is cut off from the backend servers: connects it
/// with one server, for one request. All that the request needs is decided by
/// the peer; this instance only learns from the head of the answer what the
/// server announces to it, as whoever sends to the server has to. Runs on the
/// traffic thread.
template<typename Dialect>
class tunnel_session
  : public std::enable_shared_from_this<tunnel_session<Dialect>>
{
public:
  using tcp = boost::asio::ip::tcp;
  using error_code = boost::system::error_code;

  tunnel_session(boost::asio::io_context& aContext,
                 traffic_core& aCore,
                 tcp::socket aSocket)
    : mCore(aCore)
    , mPeer(std::move(aSocket))
    , mServerSocket(aContext)
    , mTimer(aContext)
    , mFrame(kMaxTunnelMessageBytes)
    , mToServer(mPeer, mServerSocket, *this)
    , mToPeer(mServerSocket, mPeer, *this)
  {
  }

  /// Reads which server the peer asks for.
  void ReadRequest()
  {
    CloseAfter(kRequestTimeout);
    mPeer.async_read_some(
      boost::asio::buffer(mPiece),
      [self = this->shared_from_this()](error_code aFault, std::size_t aBytes) {
        self->OnRequestBytes(aFault, aBytes);
      });
  }

private:
  friend class tunnel_pump<tunnel_session>;
  using pump = tunnel_pump<tunnel_session>;

  static constexpr std::chrono::milliseconds kRequestTimeout{ 1'000 };
  // How long the peer may take to read the end of an answer.
  static constexpr std::chrono::milliseconds kLingerTime{ 2'000 };
  static constexpr std::size_t kReadBytes = 256;

  void OnRequestBytes(error_code aFault, std::size_t aBytes)
  {
    if (aFault)
      return Close();
    mFrame.Append(std::span{ mPiece }.first(aBytes));
    std::optional<std::span<std::uint8_t const>> const content = mFrame.Next();
    if (!content && mFrame.Fault() == frame_fault::None)
      return ReadRequest();
    std::optional<tunnel_request> const request =
      content ? DecodeTunnelRequest(*content) : std::nullopt;
    if (!request) {
      LogEvent("tunnel_ignored", {});
      return Close();
    }
    mFraming = request->mFraming;
    mToPeer.SetFraming(mFraming);
    Open(request->mServer);
  }

  void Open(server_identity const& aServer)
  {
    instant const now = mClock.Now();
    mCore.View(now);
    mServer = mCore.Servers().Find(aServer.mServer);
    bool const isTaken =
      mServer && mServer->mRegistered.mIncarnation == aServer.mIncarnation &&
      !mServer->IsLeaving() && now >= mServer->mPausedUntil;
    if (!isTaken)
      return Refuse(tunnel_result::Refused);
    if (mCore.IsRefusingTunnels() || mCore.Reachability().IsCutOff())
      return Refuse(tunnel_result::Unavailable);
    Connect();
  }

  void Connect()
  {
    endpoint const& to = mServer->mRegistered.mAddress;
    error_code fault;
    boost::asio::ip::address const address =
      boost::asio::ip::make_address(to.mAddress, fault);
    if (fault)
      return Refuse(tunnel_result::Refused);
    mTimer.expires_after(kServerConnectTimeout);
    mTimer.async_wait([self = this->shared_from_this()](error_code aFault) {
      error_code ignored;
      if (!aFault)
        self->mServerSocket.close(ignored);
    });
    mServerSocket.async_connect(
      { address, to.mPort },
      [self = this->shared_from_this()](error_code aFault) {
        self->OnConnected(aFault);
      });
  }

  void OnConnected(error_code aFault)
  {
    if (!mPeer.is_open())
      return;
    if (aFault) {
      mCore.OnServerUnreachable(mClock.Now(), mServer->mRegistered.mId);
      return Refuse(mCore.Reachability().IsCutOff()
                      ? tunnel_result::Unavailable
                      : tunnel_result::Unreachable);
    }
    mCore.OnServerConnected();
    mTimer.cancel();
    for (tcp::socket* const socket : { &mPeer, &mServerSocket }) {
      error_code ignored;
      socket->set_option(tcp::no_delay{ true }, ignored);
      WatchLiveness(*socket, kUnresponsiveTimeout);
    }
    LogEvent("tunnel_opened",
             { { "server", mServer->mRegistered.mId.Text() } });
    Answer(tunnel_result::Open, [](tunnel_session& aSelf) {
      aSelf.mToServer.Read();
      aSelf.mToPeer.Read();
    });
  }

  void Refuse(tunnel_result aResult)
  {
    Answer(aResult, [](tunnel_session& aSelf) {
      aSelf.Linger();
      aSelf.AwaitPeerClose();
    });
  }

  // Sends the result, then goes on with aNext.
  template<typename Next>
  void Answer(tunnel_result aResult, Next aNext)
  {
    mAnswer = EncodeTunnelAnswer({ .mResult = aResult, .mFraming = mFraming });
    boost::asio::async_write(
      mPeer,
      boost::asio::buffer(mAnswer),
      [self = this->shared_from_this(), aNext](error_code aFault, std::size_t) {
        if (aFault)
          return self->Close();
        aNext(*self);
      });
  }

  // Called by tunnel_pump.
  void OnPumped(pump const& aPump, std::string_view aPiece)
  {
    if (&aPump != &mToPeer)
      return;
    if (std::optional<answer_head> const head = mObserver.Add(aPiece))
      mCore.OnAnnouncement(mClock.Now(), *mServer, Dialect::ReadAnswer(*head));
  }

  void OnInputEnd(pump const& aPump, error_code aFault)
  {
    // The peer wants no answer any more, or has got all of it.
    if (&aPump == &mToServer)
      return Close();
    if (aFault == boost::asio::error::eof && IsRequestSent())
      return EndAnswer();
    Reset();
  }

  void OnOutputFault(pump const& aPump)
  {
    if (&aPump == &mToPeer)
      return Close();
    // The server may still answer.
    mHasRequestFailed = true;
    AwaitPeerClose();
  }

  // A failed write consumes the fault of a connection that was reset; its input
  // then ends as if the server had closed it.
  [[nodiscard]] bool IsRequestSent()
  {
    error_code fault;
    return !mHasRequestFailed && !mToServer.IsWriting() &&
           mPeer.available(fault) == 0;
  }

  // Tells the peer that the server has closed its connection, which the end of
  // the tunnel doesn't show: it ends as well when this process ends.
  void EndAnswer()
  {
    if (mFraming == tunnel_framing::None)
      return Linger();
    mEndFrame = EncodeFrameHeader(0);
    boost::asio::async_write(
      mPeer,
      boost::asio::buffer(mEndFrame),
      [self = this->shared_from_this()](error_code aFault, std::size_t) {
        aFault ? self->Close() : self->Linger();
      });
  }

  // Lets the peer see that the answer isn't complete.
  void Reset()
  {
    error_code ignored;
    mPeer.set_option(boost::asio::socket_base::linger{ true, 0 }, ignored);
    Close();
  }

  // An immediate close would reset the connection if received bytes are still
  // unread, and the peer could lose the end of the answer.
  void Linger()
  {
    error_code ignored;
    mServerSocket.close(ignored);
    mPeer.shutdown(tcp::socket::shutdown_send, ignored);
    CloseAfter(kLingerTime);
  }

  void AwaitPeerClose()
  {
    DiscardUntilEnd(
      mPeer, mUnread, [self = this->shared_from_this()]() { self->Close(); });
  }

  void CloseAfter(std::chrono::milliseconds aTime)
  {
    mTimer.expires_after(aTime);
    mTimer.async_wait([self = this->shared_from_this()](error_code aFault) {
      if (!aFault)
        self->Close();
    });
  }

  void Close()
  {
    mTimer.cancel();
    error_code ignored;
    mPeer.close(ignored);
    mServerSocket.close(ignored);
  }

  traffic_core& mCore;
  tcp::socket mPeer;
  tcp::socket mServerSocket;
  boost::asio::steady_timer mTimer;
  system_clock mClock;
  std::array<std::uint8_t, kReadBytes> mPiece{};
  frame_reader mFrame;
  std::shared_ptr<tracked_server> mServer;
  std::vector<std::uint8_t> mAnswer;
  tunnel_framing mFraming = tunnel_framing::None;
  std::array<std::uint8_t, kFrameHeaderBytes> mEndFrame{};
  answer_head_observer mObserver;
  boost::beast::flat_buffer mUnread{ kMaxInputBytes };
  pump mToServer;
  pump mToPeer;
  /// True when the server's connection failed while the request was being sent.
  bool mHasRequestFailed = false;
};

}

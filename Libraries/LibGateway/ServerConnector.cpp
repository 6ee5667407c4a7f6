#include <LibGateway/ConnectTimeout.h>
#include <LibGateway/ServerConnector.h>
#include <LibHttp/WatchLiveness.h>
#include <LibTunnel/TunnelCodec.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <optional>
#include <span>
#include <utility>

namespace lycheeseam {

server_connector::server_connector(boost::asio::io_context& aContext,
                                   traffic_core& aCore,
                                   std::shared_ptr<tracked_server> aServer,
                                   handler aHandler)
  : mContext(aContext)
  , mCore(aCore)
  , mServer(std::move(aServer))
  , mHandler(std::move(aHandler))
  , mTimer(aContext)
  , mAnswer(kMaxTunnelMessageBytes)
{
}

void
server_connector::Start()
{
  if (!NeedsPeer())
    return ConnectDirectly();
  if (mCore.Reachability().TakeProbe(mClock.Now()))
    Probe();
  AskNextPeer();
}

bool
server_connector::NeedsPeer() const
{
  return mCore.Reachability().IsCutOff() && mCore.TunnelPeers().Count() > 0;
}

void
server_connector::Cancel()
{
  mHandler = nullptr;
  Close();
}

void
server_connector::Connect(endpoint const& aTo,
                          std::chrono::milliseconds aTimeout,
                          std::function<void(error_code)> aOnConnected,
                          std::function<void()> aOnTimeout)
{
  mSocket = std::make_shared<tcp::socket>(mContext);
  error_code fault;
  boost::asio::ip::address const address =
    boost::asio::ip::make_address(aTo.mAddress, fault);
  if (fault)
    return aOnTimeout();
  mTimer.expires_after(aTimeout);
  mTimer.async_wait([self = shared_from_this(),
                     used = mSocket,
                     onTimeout = aOnTimeout](error_code aFault) {
    if (!aFault && self->mHandler && used == self->mSocket)
      onTimeout();
  });
  mSocket->async_connect(
    { address, aTo.mPort },
    [self = shared_from_this(),
     used = mSocket,
     onConnected = std::move(aOnConnected)](error_code aFault) {
      if (self->mHandler && used == self->mSocket)
        onConnected(aFault);
    });
}

void
server_connector::ConnectDirectly()
{
  Connect(
    mServer->mRegistered.mAddress,
    kServerConnectTimeout,
    [this](error_code aFault) { OnDirect(aFault); },
    [this]() { OnDirect(boost::asio::error::timed_out); });
}

void
server_connector::OnDirect(error_code aFault)
{
  mTimer.cancel();
  if (!aFault) {
    mCore.OnServerConnected();
    return End(connect_end::Direct);
  }
  mCore.OnServerUnreachable(mClock.Now(), mServer->mRegistered.mId);
  if (NeedsPeer())
    return AskNextPeer();
  if (mCore.Reachability().IsCutOff())
    return End(connect_end::NoPath);
  End(aFault == boost::asio::error::connection_refused
        ? connect_end::Refused
        : connect_end::NotConnected);
}

// Connects to the server directly, beside the connection through a peer, to
// learn when this instance reaches servers again.
void
server_connector::Probe()
{
  error_code fault;
  boost::asio::ip::address const address = boost::asio::ip::make_address(
    mServer->mRegistered.mAddress.mAddress, fault);
  if (fault)
    return;
  std::shared_ptr<tcp::socket> const probe =
    std::make_shared<tcp::socket>(mContext);
  std::shared_ptr<boost::asio::steady_timer> const timer =
    std::make_shared<boost::asio::steady_timer>(mContext,
                                                kServerConnectTimeout);
  timer->async_wait([probe](error_code aFault) {
    error_code ignored;
    if (!aFault)
      probe->close(ignored);
  });
  probe->async_connect(
    { address, mServer->mRegistered.mAddress.mPort },
    [self = shared_from_this(), probe, timer](error_code aFault) {
      timer->cancel();
      if (!aFault)
        self->mCore.OnServerConnected();
    });
}

void
server_connector::AskNextPeer()
{
  Close();
  ready_instance const* const peer =
    mTried.size() < kMaxPeers ? mCore.TunnelPeers().Choose(mClock.Now(), mTried)
                              : nullptr;
  if (peer == nullptr)
    return End(connect_end::NoPath);
  mPeer = peer->mInstance;
  mTried.insert(mPeer);
  mAnswer = frame_reader{ kMaxTunnelMessageBytes };
  Connect(
    peer->mTunnels,
    kTunnelTimeout,
    [this](error_code aFault) { aFault ? OnPeerFailed() : SendRequest(); },
    [this]() { OnPeerFailed(); });
}

void
server_connector::OnPeerFailed()
{
  mCore.TunnelPeers().OnFailed(mClock.Now(), mPeer);
  AskNextPeer();
}

void
server_connector::SendRequest()
{
  mRequest = EncodeTunnelRequest(
    { .mServer = { .mServer = mServer->mRegistered.mId,
                   .mIncarnation = mServer->mRegistered.mIncarnation },
      .mFraming = tunnel_framing::Frames });
  boost::asio::async_write(*mSocket,
                           boost::asio::buffer(mRequest),
                           [self = shared_from_this(),
                            used = mSocket](error_code aFault, std::size_t) {
                             if (self->mHandler && used == self->mSocket)
                               aFault ? self->OnPeerFailed()
                                      : self->ReadAnswer();
                           });
}

// The server sends nothing before it gets a request, so that no byte of it
// follows the peer's answer.
void
server_connector::ReadAnswer()
{
  mSocket->async_read_some(boost::asio::buffer(mPiece),
                           [self = shared_from_this(), used = mSocket](
                             error_code aFault, std::size_t aBytes) {
                             if (self->mHandler && used == self->mSocket)
                               self->OnAnswerBytes(aFault, aBytes);
                           });
}

void
server_connector::OnAnswerBytes(error_code aFault, std::size_t aBytes)
{
  if (aFault)
    return OnPeerFailed();
  mAnswer.Append(std::span{ mPiece }.first(aBytes));
  std::optional<std::span<std::uint8_t const>> const content = mAnswer.Next();
  if (!content)
    return mAnswer.Fault() == frame_fault::None ? ReadAnswer() : OnPeerFailed();
  tunnel_answer const answer =
    DecodeTunnelAnswer(*content).value_or(tunnel_answer{});
  switch (answer.mResult) {
    case tunnel_result::Open:
      mTimer.cancel();
      mFraming = answer.mFraming;
      mCore.TunnelPeers().OnOpened(mClock.Now(), mPeer);
      return End(connect_end::Tunnel);
    case tunnel_result::Unreachable:
      return End(connect_end::NotConnected);
    // The peer has another view of the server, which says nothing about
    // whether the server can be reached.
    case tunnel_result::Refused:
      return End(connect_end::NoPath);
    case tunnel_result::Unavailable:
      return OnPeerFailed();
  }
}

void
server_connector::End(connect_end aEnd)
{
  bool const isOpen =
    aEnd == connect_end::Direct || aEnd == connect_end::Tunnel;
  if (!isOpen)
    Close();
  handler const ended = std::exchange(mHandler, nullptr);
  if (!ended)
    return;
  if (isOpen) {
    error_code ignored;
    mSocket->set_option(tcp::no_delay{ true }, ignored);
    WatchLiveness(*mSocket, kUnresponsiveTimeout);
  }
  ended(aEnd, isOpen ? std::exchange(mSocket, nullptr) : nullptr);
}

void
server_connector::Close()
{
  mTimer.cancel();
  if (!mSocket)
    return;
  error_code ignored;
  mSocket->close(ignored);
  mSocket.reset();
}

}

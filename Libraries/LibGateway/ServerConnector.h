#pragma once

#include <LibDispatch/TrackedServer.h>
#include <LibGateway/ConnectEnd.h>
#include <LibGateway/TrafficCore.h>
#include <LibPeer/FrameReader.h>
#include <LibTunnel/TunnelFraming.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace lycheeseam {

/// Opens one connection to a backend server: directly, or through a peer while
/// this instance is cut off from all servers. Runs on the traffic thread.
class server_connector : public std::enable_shared_from_this<server_connector>
{
public:
  using tcp = boost::asio::ip::tcp;
  using error_code = boost::system::error_code;
  /// Receives the connection, which is null unless it is open.
  using handler =
    std::function<void(connect_end, std::shared_ptr<tcp::socket>)>;

  server_connector(boost::asio::io_context& aContext,
                   traffic_core& aCore,
                   std::shared_ptr<tracked_server> aServer,
                   handler aHandler);

  /// Starts; the handler is called once, unless Cancel() is called before.
  void Start();

  /// Closes what has been opened so far.
  void Cancel();

  /// The peer that opened the tunnel; empty for a direct connection.
  [[nodiscard]] instance_id const& Peer() const noexcept { return mPeer; }

  /// How that tunnel carries what the server sends.
  [[nodiscard]] tunnel_framing Framing() const noexcept { return mFraming; }

private:
  // The peer may need kServerConnectTimeout to find out that it is cut off as
  // well.
  static constexpr std::chrono::milliseconds kTunnelTimeout{ 400 };
  // Peers that are asked before the server counts as unreachable.
  static constexpr std::size_t kMaxPeers = 4;
  // An answer has fewer bytes.
  static constexpr std::size_t kReadBytes = 64;

  // True while servers are reached through peers only.
  [[nodiscard]] bool NeedsPeer() const;
  void ConnectDirectly();
  void OnDirect(error_code aFault);
  void Probe();
  void AskNextPeer();
  void SendRequest();
  void ReadAnswer();
  void OnAnswerBytes(error_code aFault, std::size_t aBytes);
  void OnPeerFailed();
  // Connects mSocket; aOnTimeout runs if that, and what follows it until the
  // timer is cancelled, takes too long.
  void Connect(endpoint const& aTo,
               std::chrono::milliseconds aTimeout,
               std::function<void(error_code)> aOnConnected,
               std::function<void()> aOnTimeout);
  void End(connect_end aEnd);
  void Close();

  boost::asio::io_context& mContext;
  traffic_core& mCore;
  std::shared_ptr<tracked_server> mServer;
  handler mHandler;
  boost::asio::steady_timer mTimer;
  system_clock mClock;
  std::shared_ptr<tcp::socket> mSocket;
  /// The peer that is asked now, and those asked so far.
  instance_id mPeer;
  std::set<instance_id> mTried;
  std::vector<std::uint8_t> mRequest;
  std::array<std::uint8_t, kReadBytes> mPiece{};
  frame_reader mAnswer;
  tunnel_framing mFraming = tunnel_framing::None;
};

}

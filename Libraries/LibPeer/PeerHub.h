#pragma once

#include <LibCore/ClockSource.h>
#include <LibMembership/LinkSupervisor.h>
#include <LibPeer/DialSchedule.h>
#include <LibPeer/LinkTable.h>
#include <LibPeer/PeerCodec.h>
#include <LibPeer/PeerConnection.h>
#include <LibPeer/PeerCounters.h>
#include <LibPeer/PeerHandler.h>
#include <LibPeer/PeerHubOptions.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>

namespace lycheeseam {

/// The TCP links of one process to its peers: dials the peers that it is given,
/// accepts links from others, and keeps one link for each. Runs on the control
/// thread alone, whose io_context it is given. It is a peer_transport.
///
/// Handler is a peer_handler, and may be the class that holds the hub. Each
/// link gets a Supervisor of its own, made with the time when the link opens.
template<typename Handler, link_supervisor Supervisor, clock_source Clock>
class peer_hub
{
public:
  using tcp = boost::asio::ip::tcp;
  using make_supervisor = std::function<Supervisor(instant)>;
  /// Makes the heartbeat to send, with what this process knows at the call.
  using make_heartbeat = std::function<peer_heartbeat()>;

  peer_hub(boost::asio::io_context& aContext,
           peer_hub_options aOptions,
           peer_hello aSelf,
           Handler& aHandler,
           make_supervisor aMakeSupervisor,
           make_heartbeat aMakeHeartbeat,
           Clock aClock);
  ~peer_hub();
  peer_hub(peer_hub const&) = delete;
  peer_hub& operator=(peer_hub const&) = delete;

  /// Accepts links from now on. Throws error when it can't listen on the
  /// address.
  void Listen(endpoint const& aAddress);

  /// Starts the timer that dials peers and supervises links.
  void Start();

  /// Replaces the peers to keep links to. Open links to other peers stay.
  void SetPeers(std::span<peer_contact const> aContacts);

  /// Queues a message to one peer.
  send_result Send(instance_id const& aPeer, peer_message const& aMessage);

  /// Queues a message to every peer with a link, encoded once.
  void Broadcast(peer_message const& aMessage);

  /// Queues a message to some peers, encoded once; those without a link are
  /// left out.
  void Multicast(std::span<instance_id const> aPeers,
                 peer_message const& aMessage);

  /// Closes the link to a peer, if there is one.
  void Release(instance_id const& aPeer);

  /// Closes all links and accepts none; reports each to the handler.
  void Stop();

  /// The port that Listen bound; 0 before.
  [[nodiscard]] std::uint16_t Port() const;

  /// The counts so far.
  [[nodiscard]] peer_counters const& Counters() const noexcept
  {
    return mCounters;
  }

  // For peer_connection only.
  void OnConnected(link_number aLink);
  void OnFrame(link_number aLink, std::span<std::uint8_t const> aContent);
  void OnConnectionClosed(link_number aLink, link_close_reason aReason);

private:
  using connection = peer_connection<peer_hub>;

  struct link_state
  {
    std::shared_ptr<connection> mConnection;
    link_direction mDirection = link_direction::Dialled;
    /// The address that was dialled; nothing for an accepted link.
    std::optional<endpoint> mDialled;
    instant mOpenedAt{};
    /// Set once the hello of the peer has arrived.
    std::optional<instance_identity> mPeer;
    /// When the peer sent its last heartbeat, by its own clock.
    std::optional<instant> mPeerSentAt;
    Supervisor mSupervisor;
  };

  void Accept();
  void Tick();
  void DialDue(instant aNow);
  void CheckLinks(instant aNow);
  void AddLink(tcp::socket aSocket,
               link_direction aDirection,
               std::optional<endpoint> aDialled);
  void OnHello(link_number aLink, link_state& aState, peer_hello const& aHello);
  void OnMessage(link_number aLink, link_state& aState, peer_message& aMessage);
  void SendHeartbeat(link_number aLink,
                     link_state const& aState,
                     heartbeat_answer aAnswer);
  void CloseLink(link_number aLink, link_close_reason aReason);
  send_result SendFrame(link_number aLink, encoded_frame const& aFrame);
  [[nodiscard]] bool IsLinkedTo(peer_contact const& aContact) const;

  boost::asio::io_context& mContext;
  peer_hub_options mOptions;
  peer_hello mSelf;
  Handler& mHandler;
  make_supervisor mMakeSupervisor;
  make_heartbeat mMakeHeartbeat;
  Clock mClock;
  tcp::acceptor mAcceptor;
  boost::asio::steady_timer mTimer;
  dial_schedule mDials;
  link_table mTable;
  std::map<link_number, link_state> mLinks;
  std::map<endpoint, link_number> mLinkByAddress;
  std::uint64_t mNextLink = 1;
  peer_counters mCounters;
};

}

#include <LibPeer/PeerHubImplementation.h>
#include <LibPeer/PeerHubMessages.h>

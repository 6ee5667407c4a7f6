#pragma once

#include <LibCore/SystemClock.h>
#include <LibMembership/QuietLinkSupervisor.h>
#include <LibPeer/PeerHub.h>

#include <boost/asio/io_context.hpp>

#include <utility>
#include <variant>
#include <vector>

namespace lycheeseam {

/// A peer_hub on loopback that records all that it receives but heartbeats.
class hub_peer
{
public:
  using hub = peer_hub<hub_peer, quiet_link_supervisor, system_clock>;

  hub_peer(boost::asio::io_context& aContext,
           char const* aName,
           std::uint64_t aIncarnation,
           peer_hub_options aOptions = FastOptions())
    : mHub(
        aContext,
        aOptions,
        Hello(aName, aIncarnation),
        *this,
        [](instant aNow) {
          return quiet_link_supervisor{ kQuiet, aNow };
        },
        []() { return peer_heartbeat{}; },
        system_clock{})
  {
    mHub.Listen({ .mAddress = "127.0.0.1" });
    mHub.Start();
  }

  static peer_hub_options FastOptions()
  {
    using std::chrono::milliseconds;
    return { .mMaxFrameBytes = 1 << 20,
             .mMaxQueueBytes = 4 << 20,
             .mHelloTimeout = milliseconds{ 200 },
             .mTick = milliseconds{ 5 },
             .mDial = { .mMinBackoff = milliseconds{ 10 },
                        .mMaxBackoff = milliseconds{ 50 } } };
  }

  static peer_hello Hello(char const* aName, std::uint64_t aIncarnation)
  {
    endpoint const unused = endpoint::Parse("127.0.0.1:1");
    return { .mIdentity = { .mInstance = instance_id{ aName },
                            .mIncarnation = incarnation{ aIncarnation } },
             .mFailureDomain = failure_domain{ "here" },
             .mCallers = unused,
             .mPeers = { .mAddress = "127.0.0.1", .mPort = 1 } };
  }

  [[nodiscard]] peer_contact Contact() const
  {
    return { .mAddress = { .mAddress = "127.0.0.1", .mPort = mHub.Port() } };
  }

  void SetPeer(peer_contact const& aContact)
  {
    mHub.SetPeers(std::span{ &aContact, 1 });
  }

  void OnPeerUp(peer_hello const& aHello) { mUp.push_back(aHello.mIdentity); }

  void OnLinkReplaced(peer_hello const& aHello)
  {
    mReplaced.push_back(aHello.mIdentity);
  }

  void OnHelloRefused(peer_hello const& aHello, link_close_reason)
  {
    mRefused.push_back(aHello.mIdentity);
  }

  void OnPeerMessage(instance_identity const&, peer_message& aMessage)
  {
    if (!std::holds_alternative<peer_heartbeat>(aMessage))
      mMessages.push_back(std::move(aMessage));
  }

  void OnPeerDown(instance_identity const& aPeer, link_close_reason aReason)
  {
    mDown.push_back(aPeer);
    mDownReasons.push_back(aReason);
  }

  std::vector<instance_identity> mUp;
  std::vector<instance_identity> mReplaced;
  std::vector<instance_identity> mRefused;
  std::vector<instance_identity> mDown;
  std::vector<link_close_reason> mDownReasons;
  std::vector<peer_message> mMessages;
  hub mHub;

private:
  static constexpr quiet_link_options kQuiet{ .mQuietInterval =
                                                std::chrono::milliseconds{ 40 },
                                              .mPingInterval =
                                                std::chrono::milliseconds{ 20 },
                                              .mPingLimit = 4 };
};

}

#pragma once

#include <LibCore/InstanceIdentity.h>
#include <LibPeer/LinkCloseReason.h>
#include <LibPeer/PeerHello.h>
#include <LibPeer/PeerMessage.h>

namespace lycheeseam {

/// Receives what a peer_hub gets from peers. An incarnation of a peer is linked
/// from OnPeerUp to OnPeerDown; its messages arrive only in between. After
/// OnLinkReplaced, another connection to the same incarnation is used: messages
/// that were sent before may be lost. OnHelloRefused tells of a link that isn't
/// used and why; it is closed afterwards.
template<typename Handler>
concept peer_handler = requires(Handler& aHandler,
                                peer_hello const& aHello,
                                instance_identity const& aPeer,
                                peer_message& aMessage,
                                link_close_reason aReason)
{
  aHandler.OnPeerUp(aHello);
  aHandler.OnLinkReplaced(aHello);
  aHandler.OnPeerMessage(aPeer, aMessage);
  aHandler.OnPeerDown(aPeer, aReason);
  aHandler.OnHelloRefused(aHello, aReason);
};

}

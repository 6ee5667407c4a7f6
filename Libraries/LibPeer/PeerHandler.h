#pragma once

#include <LibCore/InstanceIdentity.h>
#include <LibPeer/LinkCloseReason.h>
#include <LibPeer/PeerHello.h>
#include <LibPeer/PeerMessage.h>

namespace lycheeseam {

/// Whom a peer_hub tells what comes from peers. A life of a peer is up from
/// OnPeerUp to OnPeerDown; messages come in between only.
template<typename Handler>
concept peer_handler = requires(Handler& aHandler,
                                peer_hello const& aHello,
                                instance_identity const& aPeer,
                                peer_message& aMessage,
                                link_close_reason aReason)
{
  aHandler.OnPeerUp(aHello);
  aHandler.OnPeerMessage(aPeer, aMessage);
  aHandler.OnPeerDown(aPeer, aReason);
};

}

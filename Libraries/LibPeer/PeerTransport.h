#pragma once

#include <LibCore/Identifiers.h>
#include <LibPeer/PeerMessage.h>
#include <LibPeer/SendResult.h>

#include <concepts>

namespace lycheeseam {

/// Sends messages to peers: over TCP links, or in a test over a network in
/// virtual time.
template<typename Transport>
concept peer_transport = requires(Transport& aTransport,
                                  instance_id const& aPeer,
                                  peer_message const& aMessage)
{
  {
    aTransport.Send(aPeer, aMessage)
    } -> std::same_as<send_result>;
  aTransport.Broadcast(aMessage);
};

}

#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>
#include <LibCore/InstanceIdentity.h>
#include <LibPeer/PeerProtocol.h>

#include <cstdint>

namespace lycheeseam {

/// The first message on a link, in both directions: who its sender is.
struct peer_hello
{
  std::uint32_t mVersion = kPeerProtocolVersion;
  instance_identity mIdentity;
  failure_domain mFailureDomain;
  /// Where callers reach the sender.
  endpoint mCallers;
  /// Where peers reach the sender.
  endpoint mPeers;
  /// Where peers ask the sender for tunnels to backend servers; port 0 when it
  /// opens none.
  endpoint mTunnels;
  /// The sender's CPU capacity, in thousandths of a core; 0 when not given.
  std::uint32_t mCapacity = 0;

  bool operator==(peer_hello const&) const = default;
};

}

#pragma once

#include <LibCore/ServerIdentity.h>
#include <LibTunnel/TunnelFraming.h>

namespace lycheeseam {

/// Asks a peer for a connection to a backend server.
struct tunnel_request
{
  server_identity mServer;
  /// Frames when the sender can read them.
  tunnel_framing mFraming = tunnel_framing::None;

  bool operator==(tunnel_request const&) const = default;
};

}

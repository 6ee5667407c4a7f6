#pragma once

#include <LibTunnel/TunnelFraming.h>
#include <LibTunnel/TunnelResult.h>

namespace lycheeseam {

/// What a peer answers to the request for a tunnel.
struct tunnel_answer
{
  tunnel_result mResult = tunnel_result::Unavailable;
  /// How the bytes that follow are sent.
  tunnel_framing mFraming = tunnel_framing::None;

  bool operator==(tunnel_answer const&) const = default;
};

}

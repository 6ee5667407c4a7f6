#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Instant.h>
#include <LibPeer/PeerHello.h>

#include <optional>

namespace lycheeseam {

/// What the control thread of an instance is told at its start.
struct fleet_options
{
  /// Who this instance is to its peers.
  peer_hello mSelf;
  endpoint mStore;
  /// Where metrics are served; nowhere without it.
  std::optional<endpoint> mMetrics;
  /// For how long the holder of orders counts after it took its lease.
  duration mLease{};
};

}

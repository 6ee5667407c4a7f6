#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Instant.h>
#include <LibPeer/PeerHello.h>
#include <LibRollout/RolloutLimits.h>

#include <optional>

namespace lycheeseam {

/// The options of an instance's control thread.
struct fleet_options
{
  /// The hello that this instance sends to its peers.
  peer_hello mSelf;
  endpoint mStore;
  /// Where metrics are served; without it they aren't served.
  std::optional<endpoint> mMetrics;
  /// The quota window.
  duration mQuotaWindow{};
  /// The term of the lease on orders, from when the lease is sent.
  duration mLease{};
  /// Without them no rollouts are run.
  std::optional<rollout_limits> mRollouts;
};

}

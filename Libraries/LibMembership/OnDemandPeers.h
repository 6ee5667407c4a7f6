#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
#include <LibMembership/OnDemandPeersOptions.h>

#include <map>
#include <span>
#include <vector>

namespace lycheeseam {

/// Tracks the peers that SelectPeers didn't select but that messages need, such
/// as holders of budget slots and owners of prefixes in a large fleet, so that
/// links to them are kept.
class on_demand_peers
{
public:
  explicit on_demand_peers(on_demand_peers_options aOptions);

  /// This instance has a message for the peer.
  void OnUse(instance_id const& aPeer, instant aNow);

  /// The selected peers together with those used recently, each once.
  [[nodiscard]] std::vector<instance_id> Merge(
    std::span<instance_id const> aSelected,
    instant aNow);

private:
  void DropLeastRecentlyUsed();

  on_demand_peers_options mOptions;
  std::map<instance_id, instant> mLastUse;
};

}

#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
#include <LibMembership/DemandedPeersOptions.h>

#include <map>
#include <span>
#include <vector>

namespace lycheeseam {

/// Keeps links to peers that are needed but not selected, such as homes of
/// budgets and owners of prefixes in a large fleet.
class demanded_peers
{
public:
  explicit demanded_peers(demanded_peers_options aOptions);

  /// A message for the peer is at hand.
  void OnUse(instance_id const& aPeer, instant aNow);

  /// The selected peers and those in demand, each once.
  [[nodiscard]] std::vector<instance_id> Join(
    std::span<instance_id const> aSelected,
    instant aNow);

private:
  void DropIdlest();

  demanded_peers_options mOptions;
  std::map<instance_id, instant> mLastUse;
};

}

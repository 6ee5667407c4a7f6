#pragma once

#include <LibPeer/PeerContact.h>
#include <LibPeer/PeerHello.h>

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace lycheeseam {

/// The position of an instance in the tree of reports, and the peers that it
/// keeps links to. Roots exchange the reports of their branches with each
/// other; every other instance reports to one parent in its failure domain.
struct report_topology
{
  /// Up to this many instances are all roots.
  static constexpr std::size_t kMaxInstancesAllRoots = 12;

  /// Empty for a root.
  std::optional<instance_id> mParent;
  std::vector<peer_contact> mContacts;

  bool operator==(report_topology const&) const = default;
};

/// Computes the topology of aSelf; aOthers are the other instances that may be
/// running, as far as aSelf knows. A child keeps aParent, its parent so far,
/// while that is among aOthers.
///
/// Instances that know different sets of instances compute different topologies
/// for a while. Parents still never form a cycle: a parent precedes its
/// children in an order that depends on the two instances only.
report_topology
ComputeReportTopology(peer_hello const& aSelf,
                      std::span<peer_hello const> aOthers,
                      std::optional<instance_id> const& aParent);

}

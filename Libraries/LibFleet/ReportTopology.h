#pragma once

#include <LibPeer/PeerContact.h>
#include <LibPeer/PeerHello.h>

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace lycheeseam {

/// Where an instance stands among those that exchange reports, and whom it
/// keeps links to. Roots exchange the reports of their branches with each
/// other; every other instance reports to one parent in its failure domain.
struct report_layout
{
  /// So many instances are all roots.
  static constexpr std::size_t kMostRootsOnly = 12;

  /// Nothing for a root.
  std::optional<instance_id> mParent;
  std::vector<peer_contact> mContacts;

  bool operator==(report_layout const&) const = default;
};

/// Lays out what aSelf sees: aOthers are the other instances that may live.
/// aParent is its parent so far, which stays while it lives.
///
/// Instances that see others lay out differently for a while. A parent always
/// comes before its children in one order that depends on nothing but the two,
/// so that they never form a ring.
report_layout
LayOutReports(peer_hello const& aSelf,
              std::span<peer_hello const> aOthers,
              std::optional<instance_id> const& aParent);

}

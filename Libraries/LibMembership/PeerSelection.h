#pragma once

#include <LibCore/Identifiers.h>
#include <LibMembership/Member.h>
#include <LibMembership/PeerSelectionOptions.h>

#include <span>
#include <vector>

namespace lycheeseam {

/// The instances that aSelf keeps links to, in order of their names.
///
/// Beyond a small fleet, each instance is linked to its two neighbours on each
/// of a few rings, which sort the instances by independent hashes of their
/// names. Instances that know the same members agree on the links without a
/// word; the degree is bounded, one ring alone connects all, and together the
/// rings are a random regular graph. A member that comes or goes changes only
/// its neighbours' links.
std::vector<instance_id>
SelectPeers(instance_id const& aSelf,
            std::span<member const> aMembers,
            peer_selection_options const& aOptions);

}

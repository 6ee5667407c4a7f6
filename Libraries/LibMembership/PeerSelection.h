#pragma once

#include <LibCore/Identifiers.h>
#include <LibMembership/Member.h>
#include <LibMembership/PeerSelectionOptions.h>

#include <span>
#include <vector>

namespace lycheeseam {

/// The instances that aSelf keeps links to, in order of their names.
///
/// In a small fleet each instance is linked to every other one. In a larger
/// one it is linked to its two neighbours on each of a few rings, which order
/// the instances by independent hashes of their names. Instances that know the
/// same members agree on the links without communication. The degree is
/// bounded, a single ring connects all, and the rings together form a random
/// regular graph. An added or removed member changes only its neighbours'
/// links.
std::vector<instance_id>
SelectPeers(instance_id const& aSelf,
            std::span<member const> aMembers,
            peer_selection_options const& aOptions);

}

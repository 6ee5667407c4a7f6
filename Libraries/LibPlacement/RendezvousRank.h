#pragma once

#include <LibPlacement/BlockHash.h>

#include <cstdint>
#include <string_view>

namespace lycheeseam {

/// The rank of a member, a backend server or an instance, for a prefix. It is
/// the same on all instances; the member with the highest rank owns the prefix.
/// An added or removed member changes the owner only of prefixes that it owns
/// or owned.
std::uint64_t
RendezvousRank(block_hash aRoot, std::string_view aMember);

}

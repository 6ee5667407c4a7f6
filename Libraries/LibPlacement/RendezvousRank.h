#pragma once

#include <LibPlacement/BlockHash.h>

#include <cstdint>
#include <string_view>

namespace lycheeseam {

/// A member's rank for a prefix; all instances compute the same one, and the
/// highest owns the prefix. A member that comes or goes moves only its own.
std::uint64_t
RendezvousRank(block_hash aRoot, std::string_view aMember);

}

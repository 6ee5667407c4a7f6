#include <LibPlacement/RendezvousRank.h>

#include <xxhash.h>

namespace lycheeseam {

std::uint64_t
RendezvousRank(block_hash aRoot, std::string_view aMember)
{
  return XXH3_64bits_withSeed(aMember.data(), aMember.size(), aRoot.Value());
}

}

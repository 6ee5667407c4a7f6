#include <LibPlacement/RendezvousRank.h>
#include <LibPlacement/ShardOwner.h>

#include <algorithm>

namespace lycheeseam {

instance_id const*
ShardOwner(block_hash aRoot, std::span<instance_id const> aInstances)
{
  if (aInstances.empty())
    return nullptr;
  return &*std::ranges::max_element(
    aInstances, {}, [aRoot](instance_id const& aInstance) {
      return RendezvousRank(aRoot, aInstance.Text());
    });
}

}

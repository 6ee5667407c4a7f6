#include <LibPlacement/RendezvousRank.h>
#include <LibPlacement/ShardOwner.h>

#include <algorithm>

namespace lycheeseam {

instance_id const*
ShardOwner(block_hash aBlock, std::span<instance_id const> aInstances)
{
  if (aInstances.empty())
    return nullptr;
  block_hash const shard{ ShardKey(aBlock) };
  return &*std::ranges::max_element(
    aInstances, {}, [shard](instance_id const& aInstance) {
      return RendezvousRank(shard, aInstance.Text());
    });
}

}

#pragma once

#include <LibCore/Identifiers.h>
#include <LibPlacement/BlockHash.h>

#include <span>

namespace lycheeseam {

/// The instance whose shard contains a block and all others with its root; null
/// if there is no instance. Equal lists of instances give the same owner.
instance_id const*
ShardOwner(block_hash aBlock, std::span<instance_id const> aInstances);

}

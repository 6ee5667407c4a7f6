#pragma once

#include <LibCore/Identifiers.h>
#include <LibPlacement/BlockHash.h>

#include <span>

namespace lycheeseam {

/// The instance that holds the knowledge of a block and of all with its root;
/// null without any instance. All who know the same instances agree.
instance_id const*
ShardOwner(block_hash aBlock, std::span<instance_id const> aInstances);

}

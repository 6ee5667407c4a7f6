#pragma once

#include <LibCore/Identifiers.h>
#include <LibPlacement/BlockHash.h>

#include <span>

namespace lycheeseam {

/// The instance that holds the block knowledge of a root; null without any
/// instance. All who know the same instances agree.
instance_id const*
ShardOwner(block_hash aRoot, std::span<instance_id const> aInstances);

}

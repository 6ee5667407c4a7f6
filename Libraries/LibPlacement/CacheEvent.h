#pragma once

#include <LibPlacement/BlockHash.h>
#include <LibPlacement/CacheChange.h>

namespace lycheeseam {

/// A change of one block in an engine's prefix cache.
struct cache_event
{
  cache_change mChange = cache_change::Stored;
  block_hash mBlock;
};

}

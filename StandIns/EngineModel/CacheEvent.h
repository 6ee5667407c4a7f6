#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>

#include <StandIns/EngineModel/BlockHash.h>

#include <vector>

namespace lycheeseam::standin {

/// How a cache event changed the cached blocks.
enum class cache_event_kind
{
  Stored,
  Evicted,
  /// The cache was emptied, for instance because new weights were loaded.
  Cleared,
};

/// One entry of an engine's stream of cache events; event_sequence numbers
/// them from 1 on.
struct cache_event
{
  event_sequence mSequence;
  cache_event_kind mKind = cache_event_kind::Stored;
  std::vector<block_hash> mBlocks;
  instant mHappened;
};

}

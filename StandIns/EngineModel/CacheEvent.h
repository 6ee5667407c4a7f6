#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>

#include <StandIns/EngineModel/BlockHash.h>

#include <vector>

namespace lycheeseam::standin {

/// What happened to the blocks of a cache event.
enum class cache_event_kind
{
  Stored,
  Evicted,
  /// Everything went, for instance since new weights were loaded.
  Cleared,
};

/// One entry of an engine's stream of cache events.
struct cache_event
{
  event_sequence mSequence;
  cache_event_kind mKind = cache_event_kind::Stored;
  std::vector<block_hash> mBlocks;
  instant mHappened;
};

}

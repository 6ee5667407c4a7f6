#pragma once

#include <LibCore/Identifiers.h>
#include <LibPlacement/CacheEvent.h>

#include <span>

namespace lycheeseam {

/// Events of one engine as its stream delivered them; late, and some lost.
struct cache_event_batch
{
  backend_server_id mServer;
  incarnation mIncarnation;
  /// The sequence number of this batch; each batch of a life has the next one.
  event_sequence mSequence;
  /// The events in the engine's order; not owned.
  std::span<cache_event const> mEvents;
};

}

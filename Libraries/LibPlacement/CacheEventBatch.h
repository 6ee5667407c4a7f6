#pragma once

#include <LibCore/Identifiers.h>
#include <LibPlacement/CacheEvent.h>

#include <span>

namespace lycheeseam {

/// Events of one engine as its stream delivered them, late and with losses. A
/// reader that forwards a part of them states which sequence numbers the part
/// covers, so that its receiver still detects gaps.
struct cache_event_batch
{
  backend_server_id mServer;
  incarnation mIncarnation;
  /// The first and the last sequence number that this batch covers.
  event_sequence mFirst;
  event_sequence mLast;
  /// The events in the engine's order; not owned.
  std::span<cache_event const> mEvents;
};

}

#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>

#include <cstdint>

namespace lycheeseam {

/// What a block_map keeps of the current incarnation of one backend server.
struct cached_server
{
  incarnation mIncarnation;
  /// Marks this incarnation's entries in the table; never used again.
  std::uint32_t mNumber = 0;
  /// The batch of events that should come next.
  event_sequence mNextSequence;
  bool mHasSeenEvents = false;
  instant mLastBatchAt{};
  /// What events said up to this tick is in doubt: batches were lost.
  std::uint32_t mLastGapTick = 0;
  /// How long an unused block likely stays cached.
  duration mRetention{};
};

}

#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>

#include <cstdint>

namespace lycheeseam {

/// block_map's state of the current incarnation of one backend server.
struct cached_server
{
  incarnation mIncarnation;
  /// Identifies this incarnation's entries in the table; never reused.
  std::uint32_t mNumber = 0;
  /// The sequence number expected next.
  event_sequence mNextSequence;
  bool mHasReceivedEvents = false;
  instant mLastBatchAt{};
  /// Events up to this tick are unreliable, since batches were lost.
  std::uint32_t mLastGapTick = 0;
  /// The estimate of how long an unused block stays cached.
  duration mRetention{};
};

}

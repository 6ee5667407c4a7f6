#pragma once

#include <LibRecords/LogEntry.h>

namespace lycheeseam {

/// Receives a log_follower's changes to its state.
template<typename Observer>
concept log_observer = requires(Observer& aObserver,
                                log_entry const& aEntry,
                                log_offset aOffset)
{
  /// An entry was applied.
  aObserver.OnEntry(aEntry);
  /// The state was loaded from a checkpoint that covers all entries up to an
  /// offset; the entries that it skips are never passed to OnEntry.
  aObserver.OnJump(aOffset);
  /// A read has ended; the owner calls Advance to start the next one.
  aObserver.OnReadEnd();
};

}

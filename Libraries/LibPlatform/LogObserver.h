#pragma once

#include <LibRecords/LogEntry.h>

namespace lycheeseam {

/// Hears what a follower does to its state.
template<typename Observer>
concept log_observer = requires(Observer& aObserver,
                                log_entry const& aEntry,
                                log_offset aOffset)
{
  /// An entry was applied.
  aObserver.OnEntry(aEntry);
  /// The state jumped to a checkpoint that covers all up to an offset; the
  /// entries between were never seen.
  aObserver.OnJump(aOffset);
  /// A read has ended; the follower wants to be advanced.
  aObserver.OnReadEnd();
};

}

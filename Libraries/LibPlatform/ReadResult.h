#pragma once

#include <LibPlatform/LogRange.h>
#include <LibPlatform/ReadStatus.h>
#include <LibRecords/LogEntry.h>

#include <vector>

namespace lycheeseam {

/// The result of one read of the log.
struct read_result
{
  read_status mStatus = read_status::Unavailable;
  std::vector<log_entry> mEntries;
  /// The log's range when it answered; the default when it is unavailable.
  log_range mRange;

  bool operator==(read_result const&) const = default;
};

}

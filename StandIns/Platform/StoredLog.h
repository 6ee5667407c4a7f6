#pragma once

#include <LibPlatform/LogRange.h>
#include <LibPlatform/RawRecord.h>

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace lycheeseam::standin {

/// The platform's log: opaque texts at offsets from 1 on. The oldest are
/// dropped beyond the retention.
class stored_log
{
public:
  /// Appends a record, drops the oldest beyond aRetentionRecords, and returns
  /// the record's offset.
  log_offset Append(std::string aText, std::uint32_t aRetentionRecords);

  /// At most aMaxRecords records from an offset on; none if the offset is
  /// before the retained range.
  [[nodiscard]] std::vector<raw_record> Read(log_offset aFrom,
                                             std::size_t aMaxRecords) const;

  /// The offsets that the log retains.
  [[nodiscard]] log_range Range() const;

private:
  std::deque<raw_record> mRecords;
  log_offset mTail;
};

}

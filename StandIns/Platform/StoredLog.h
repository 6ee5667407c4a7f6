#pragma once

#include <LibPlatform/LogRange.h>
#include <LibPlatform/RawRecord.h>

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace lycheeseam::standin {

/// The log itself: opaque texts at offsets from 1 on, the oldest dropped.
class stored_log
{
public:
  /// Adds a record and returns its offset.
  log_offset Append(std::string aText, std::uint32_t aRetentionRecords);

  /// Up to a number of records from an offset on.
  [[nodiscard]] std::vector<raw_record> Read(log_offset aFrom,
                                             std::size_t aMaxRecords) const;

  /// What the log holds now.
  [[nodiscard]] log_range Range() const;

private:
  std::deque<raw_record> mRecords;
  log_offset mTail;
};

}

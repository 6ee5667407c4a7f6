#pragma once

#include <LibRecords/LogRecord.h>

namespace lycheeseam {

/// A record and its offset in the log.
struct log_entry
{
  log_offset mOffset;
  log_record mRecord;

  bool operator==(log_entry const&) const = default;
};

}

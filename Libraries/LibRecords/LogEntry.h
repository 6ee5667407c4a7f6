#pragma once

#include <LibRecords/LogRecord.h>

namespace lycheeseam {

/// A record at its place in the log.
struct log_entry
{
  log_offset mOffset;
  log_record mRecord;

  bool operator==(log_entry const&) const = default;
};

}

#pragma once

#include <LibPlatform/LogRange.h>
#include <LibPlatform/RawRecord.h>

#include <vector>

namespace lycheeseam {

/// The body of the platform's answer to a read.
struct read_reply
{
  log_range mRange;
  std::vector<raw_record> mRecords;
};

}

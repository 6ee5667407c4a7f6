#pragma once

#include <LibRecords/RecordOrigin.h>

#include <string>

namespace lycheeseam {

/// The folded state of all records up to an offset. A reader whose next offset
/// lies before the log's retained range starts from it.
struct checkpoint
{
  record_origin mOrigin;
  /// The last offset whose record is part of the state.
  log_offset mCovers;
  /// The folds' state as JSON text of checkpoint sections.
  std::string mState;

  bool operator==(checkpoint const&) const = default;
};

}

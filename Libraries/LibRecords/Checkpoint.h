#pragma once

#include <LibRecords/RecordOrigin.h>

#include <string>

namespace lycheeseam {

/// The folded state of all records up to an offset. A reader that starts
/// behind the log's retention begins here.
struct checkpoint
{
  record_origin mOrigin;
  log_offset mCovers;
  /// The folds' state in the checkpoint codec's form.
  std::string mState;

  bool operator==(checkpoint const&) const = default;
};

}

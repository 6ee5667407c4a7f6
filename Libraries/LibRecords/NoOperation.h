#pragma once

#include <LibRecords/RecordOrigin.h>

namespace lycheeseam {

/// A record without effect. It advances the tail of an idle log, so that
/// pending appends pass their last offset and get a definite result.
struct no_operation
{
  record_origin mOrigin;

  bool operator==(no_operation const&) const = default;
};

}

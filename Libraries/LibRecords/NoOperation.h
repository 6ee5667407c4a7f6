#pragma once

#include <LibRecords/RecordOrigin.h>

namespace lycheeseam {

/// Moves an idle log on, so that pending appends reach their last offset.
struct no_operation
{
  record_origin mOrigin;

  bool operator==(no_operation const&) const = default;
};

}

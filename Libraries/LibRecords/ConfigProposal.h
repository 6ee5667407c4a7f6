#pragma once

#include <LibRecords/RecordOrigin.h>
#include <LibRecords/RowChange.h>

#include <string>
#include <vector>

namespace lycheeseam {

/// An operator's change of one or more rows; all take force or none.
struct config_proposal
{
  record_origin mOrigin;
  /// The operator who asked for it.
  std::string mOperator;
  std::vector<any_row_change> mChanges;

  bool operator==(config_proposal const&) const = default;
};

}

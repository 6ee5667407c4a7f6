#pragma once

#include <LibRecords/RecordOrigin.h>
#include <LibRecords/RowChange.h>

#include <string>
#include <vector>

namespace lycheeseam {

/// A log record that changes one or more of the operators' rows. Either all
/// changes take effect or none does.
struct config_proposal
{
  record_origin mOrigin;
  /// The name of the operator who made the change.
  std::string mOperator;
  std::vector<any_row_change> mChanges;

  bool operator==(config_proposal const&) const = default;
};

}

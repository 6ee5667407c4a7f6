#pragma once

#include <LibConfig/ConfigTables.h>
#include <LibConfigLog/RowConflict.h>
#include <LibRecords/RowChange.h>

#include <span>
#include <vector>

/// \file Compares lists of row changes with the tables and applies them.

namespace lycheeseam {

/// Returns the row that a change writes or deletes.
row_reference
RowOf(any_row_change const& aChange);

/// Returns the rows whose version differs from the base of their change.
std::vector<row_conflict>
FindConflicts(config_tables const& aTables,
              std::span<any_row_change const> aChanges);

/// Writes and deletes rows; written rows get the version aVersion.
void
WriteRows(config_tables& aTables,
          std::span<any_row_change const> aChanges,
          row_version aVersion);

}

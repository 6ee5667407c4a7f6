#pragma once

#include <LibConfig/ConfigTables.h>
#include <LibConfigLog/RowConflict.h>
#include <LibRecords/RowChange.h>

#include <span>
#include <vector>

/// \file What a list of row changes means for the tables.

namespace lycheeseam {

/// The row that a change is about.
row_reference
RowOf(any_row_change const& aChange);

/// The rows whose version isn't the one that their change is based on.
std::vector<row_conflict>
FindConflicts(config_tables const& aTables,
              std::span<any_row_change const> aChanges);

/// Writes and deletes rows; those written get the version.
void
WriteRows(config_tables& aTables,
          std::span<any_row_change const> aChanges,
          row_version aVersion);

}

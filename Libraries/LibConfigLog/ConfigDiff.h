#pragma once

#include <LibConfig/ConfigFile.h>
#include <LibConfig/ConfigTables.h>
#include <LibRecords/RowChange.h>

#include <vector>

namespace lycheeseam {

/// Returns the changes that make the tables equal to those of a file, each
/// based on the version in force. Rows that are equal already get no change.
/// Tables that the file leaves out stay as they are.
std::vector<any_row_change>
DiffTables(config_tables const& aTables, config_file const& aWanted);

}

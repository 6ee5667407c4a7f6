#pragma once

#include <LibConfig/ConfigFile.h>
#include <LibConfig/ConfigTables.h>
#include <LibRecords/RowChange.h>

#include <vector>

namespace lycheeseam {

/// The changes that make the tables equal to those of a file, each based on
/// the version in force. Rows that are the same already are left out.
std::vector<any_row_change>
DiffTables(config_tables const& aTables, config_file const& aWanted);

}

#pragma once

#include <LibConfig/ConfigTables.h>
#include <LibConfigLog/ConfigFault.h>
#include <LibRecords/RowChange.h>

#include <span>
#include <vector>

namespace lycheeseam {

/// Checks the references between rows in the tables as they would be after the
/// changes: named rows exist and are of the right kind, no two routes have the
/// same path prefix and model, and a server has one address.
void
CheckReferences(config_tables const& aChanged,
                std::span<any_row_change const> aChanges,
                std::vector<config_fault>& aFaults);

}

#pragma once

#include <LibConfig/ConfigTables.h>
#include <LibConfigLog/ConfigFault.h>
#include <LibRecords/RowChange.h>

#include <span>
#include <vector>

namespace lycheeseam {

/// Checks that rows which name others name ones that exist and suit, in
/// tables as they would be after the changes.
void
CheckReferences(config_tables const& aChanged,
                std::span<any_row_change const> aChanges,
                std::vector<config_fault>& aFaults);

}

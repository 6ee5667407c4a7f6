#pragma once

#include <LibConfig/ConfigTables.h>
#include <LibConfigLog/ConfigFault.h>
#include <LibRecords/ConfigProposal.h>

#include <span>
#include <vector>

/// \file The rules that a proposal must keep to be accepted.

namespace lycheeseam {

/// Checks what can be told without the tables: the last offset, and that the
/// changes are of distinct rows.
std::vector<config_fault>
CheckProposal(config_proposal const& aProposal, log_offset aOffset);

/// Checks the tables as they would be after the changes: each changed row,
/// and that no row names one that isn't there.
std::vector<config_fault>
CheckChangedTables(config_tables const& aChanged,
                   std::span<any_row_change const> aChanges);

}

#pragma once

#include <LibConfig/ConfigTables.h>
#include <LibConfigLog/ConfigFault.h>
#include <LibRecords/ConfigProposal.h>

#include <span>
#include <vector>

/// \file Checks of the rules that a proposal must keep to be accepted.

namespace lycheeseam {

/// Checks the rules that don't depend on the tables: that the last offset is
/// not too far ahead of aOffset, the proposal's own, and that there are
/// changes, all of distinct rows.
std::vector<config_fault>
CheckProposal(config_proposal const& aProposal, log_offset aOffset);

/// Checks the tables as they would be after the changes: each changed row by
/// itself, and the references between rows.
std::vector<config_fault>
CheckChangedTables(config_tables const& aChanged,
                   std::span<any_row_change const> aChanges);

}

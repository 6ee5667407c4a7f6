#pragma once

#include <LibConfig/ConfigTable.h>
#include <LibConfigLog/ConfigFault.h>
#include <LibRecords/RowChange.h>

#include <string_view>
#include <vector>

/// \file Checks of the rules for a single row, which don't depend on other
/// rows.

namespace lycheeseam {

/// Returns true for 1 to 128 letters, digits, dots, colons, hyphens and
/// underscores.
bool
IsRowName(std::string_view aName);

void
CheckRow(row_reference const& aReference,
         route_row const& aRow,
         std::vector<config_fault>& aFaults);

void
CheckRow(row_reference const& aReference,
         pool_row const& aRow,
         std::vector<config_fault>& aFaults);

void
CheckRow(row_reference const& aReference,
         key_row const& aRow,
         std::vector<config_fault>& aFaults);

void
CheckRow(row_reference const& aReference,
         workspace_row const& aRow,
         std::vector<config_fault>& aFaults);

/// Checks that a row's name is well formed and the same as in its change.
template<typename Name, typename Row>
void
CheckRowName(row_reference const& aReference,
             row_change<Name, Row> const& aChange,
             std::vector<config_fault>& aFaults)
{
  if (!IsRowName(aReference.mName))
    aFaults.push_back({ config_rule::RowName,
                        aReference,
                        "a name has 1 to 128 letters, digits, '.', ':', '-' "
                        "or '_'" });
  if (aChange.mRow && config_table<Row>::NameOf(*aChange.mRow) != aChange.mName)
    aFaults.push_back({ config_rule::RowName,
                        aReference,
                        "the row's name differs from the name in its change" });
}

}

#pragma once

#include <LibConfig/ConfigTable.h>
#include <LibConfigLog/ConfigFault.h>
#include <LibRecords/RowChange.h>

#include <string_view>
#include <vector>

/// \file The rules that a row keeps by itself, whatever the tables hold.

namespace lycheeseam {

/// True for 1 to 128 letters, digits, dots, colons, hyphens and underscores.
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

/// Checks that a row is filed under its own, well-formed name.
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
                        "the row has another name than its change" });
}

}

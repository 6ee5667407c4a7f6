#include <LibConfig/ConfigTable.h>
#include <LibConfigLog/RowChanges.h>

#include <variant>

namespace lycheeseam {

row_reference
RowOf(any_row_change const& aChange)
{
  auto const makeReference =
    []<typename Name, typename Row>(row_change<Name, Row> const& aTyped) {
      using table = config_table<Row>;
      return row_reference{ .mTable = table::kKind,
                            .mName = table::Text(aTyped.mName) };
    };
  return std::visit(makeReference, aChange);
}

std::vector<row_conflict>
FindConflicts(config_tables const& aTables,
              std::span<any_row_change const> aChanges)
{
  std::vector<row_conflict> conflicts;
  for (any_row_change const& change : aChanges) {
    auto const compare =
      [&]<typename Name, typename Row>(row_change<Name, Row> const& aTyped) {
        row_version const current = VersionOf<Row>(aTables, aTyped.mName);
        if (current != aTyped.mBase)
          conflicts.push_back({ RowOf(change), aTyped.mBase, current });
      };
    std::visit(compare, change);
  }
  return conflicts;
}

void
WriteRows(config_tables& aTables,
          std::span<any_row_change const> aChanges,
          row_version aVersion)
{
  for (any_row_change const& change : aChanges) {
    auto const write = [&]<typename Name, typename Row>(
                         row_change<Name, Row> const& aTyped) {
      std::map<Name, versioned<Row>>& rows = aTables.*config_table<Row>::kRows;
      if (aTyped.mRow)
        rows[aTyped.mName] = { .mRow = *aTyped.mRow, .mVersion = aVersion };
      else
        rows.erase(aTyped.mName);
    };
    std::visit(write, change);
  }
}

}

#include <LibConfig/ConfigTable.h>
#include <LibConfigLog/ConfigDiff.h>

#include <optional>
#include <set>

namespace lycheeseam {

namespace {

template<typename Row>
using change_of = row_change<typename config_table<Row>::name, Row>;

template<typename Row>
void
DiffTable(config_tables const& aTables,
          std::optional<std::vector<Row>> const& aWanted,
          std::vector<any_row_change>& aChanges)
{
  if (!aWanted)
    return;
  using table = config_table<Row>;
  std::map<typename table::name, versioned<Row>> const& rows =
    aTables.*table::kRows;
  std::set<typename table::name> wantedNames;
  for (Row const& row : *aWanted) {
    typename table::name const& name = table::NameOf(row);
    wantedNames.insert(name);
    auto const found = rows.find(name);
    if (found != rows.end() && found->second.mRow == row)
      continue;
    aChanges.push_back(
      change_of<Row>{ name, VersionOf<Row>(aTables, name), row });
  }
  for (auto const& [name, entry] : rows) {
    if (!wantedNames.contains(name))
      aChanges.push_back(change_of<Row>{ name, entry.mVersion, std::nullopt });
  }
}

}

std::vector<any_row_change>
DiffTables(config_tables const& aTables, config_file const& aWanted)
{
  std::vector<any_row_change> changes;
  DiffTable(aTables, aWanted.mWorkspaces, changes);
  DiffTable(aTables, aWanted.mPools, changes);
  DiffTable(aTables, aWanted.mRoutes, changes);
  DiffTable(aTables, aWanted.mKeys, changes);
  return changes;
}

}

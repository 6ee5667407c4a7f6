#pragma once

#include <LibConfig/ConfigTables.h>
#include <LibConfig/TableKind.h>

#include <string>

/// \file The traits of each table, for code that is generic over tables.

namespace lycheeseam {

/// The table of a type of row: its kind, the type of its keys and its member of
/// config_tables. Specialised for each type of row.
template<typename Row>
struct config_table;

template<>
struct config_table<route_row>
{
  using name = route_name;
  static constexpr table_kind kKind = table_kind::Routes;
  static constexpr std::map<route_name, versioned<route_row>> config_tables::*
    kRows = &config_tables::mRoutes;
  static name const& NameOf(route_row const& aRow) { return aRow.mName; }
  static std::string Text(name const& aName) { return aName.Text(); }
};

template<>
struct config_table<pool_row>
{
  using name = pool_name;
  static constexpr table_kind kKind = table_kind::Pools;
  static constexpr std::map<pool_name, versioned<pool_row>> config_tables::*
    kRows = &config_tables::mPools;
  static name const& NameOf(pool_row const& aRow) { return aRow.mName; }
  static std::string Text(name const& aName) { return aName.Text(); }
};

template<>
struct config_table<key_row>
{
  using name = digest;
  static constexpr table_kind kKind = table_kind::Keys;
  static constexpr std::map<digest, versioned<key_row>> config_tables::*kRows =
    &config_tables::mKeys;
  static name const& NameOf(key_row const& aRow) { return aRow.mDigest; }
  static std::string Text(name const& aName) { return aName.Hex(); }
};

template<>
struct config_table<workspace_row>
{
  using name = workspace_id;
  static constexpr table_kind kKind = table_kind::Workspaces;
  static constexpr std::map<workspace_id, versioned<workspace_row>>
    config_tables::*kRows = &config_tables::mWorkspaces;
  static name const& NameOf(workspace_row const& aRow) { return aRow.mName; }
  static std::string Text(name const& aName) { return aName.Text(); }
};

/// Returns the version of a row, 0 when there is no such row.
template<typename Row>
row_version
VersionOf(config_tables const& aTables,
          typename config_table<Row>::name const& aName)
{
  std::map<typename config_table<Row>::name, versioned<Row>> const& rows =
    aTables.*config_table<Row>::kRows;
  auto const found = rows.find(aName);
  return found == rows.end() ? row_version{} : found->second.mVersion;
}

}

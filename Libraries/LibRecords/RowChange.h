#pragma once

#include <LibConfig/KeyRow.h>
#include <LibConfig/PoolRow.h>
#include <LibConfig/RouteRow.h>
#include <LibConfig/WorkspaceRow.h>
#include <LibCore/Identifiers.h>

#include <optional>
#include <variant>

namespace lycheeseam {

/// Writes or deletes one row. Name is the type of the row's key in its table,
/// Row that of the row.
template<typename Name, typename Row>
struct row_change
{
  Name mName;
  /// The version that the author read; 0 when there was no row.
  row_version mBase;
  /// The new row; nullopt to delete the row.
  std::optional<Row> mRow;

  bool operator==(row_change const&) const = default;
};

using route_change = row_change<route_name, route_row>;
using pool_change = row_change<pool_name, pool_row>;
using key_change = row_change<digest, key_row>;
using workspace_change = row_change<workspace_id, workspace_row>;

/// A change of one row of any table.
using any_row_change =
  std::variant<route_change, pool_change, key_change, workspace_change>;

}

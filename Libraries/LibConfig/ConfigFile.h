#pragma once

#include <LibConfig/KeyRow.h>
#include <LibConfig/PoolRow.h>
#include <LibConfig/RouteRow.h>
#include <LibConfig/WorkspaceRow.h>

#include <optional>
#include <vector>

namespace lycheeseam {

/// The complete tables of a configuration file. A table in the file replaces
/// the table in force; one that the file leaves out stays as it is.
struct config_file
{
  std::optional<std::vector<route_row>> mRoutes;
  std::optional<std::vector<pool_row>> mPools;
  std::optional<std::vector<key_row>> mKeys;
  std::optional<std::vector<workspace_row>> mWorkspaces;

  bool operator==(config_file const&) const = default;
};

}

#pragma once

#include <LibConfig/KeyRow.h>
#include <LibConfig/PoolRow.h>
#include <LibConfig/RouteRow.h>
#include <LibConfig/Versioned.h>
#include <LibConfig/WorkspaceRow.h>
#include <LibCore/Digest.h>
#include <LibCore/Identifiers.h>

#include <map>
#include <string_view>

namespace lycheeseam {

/// The operators' four tables as of one log offset. Traffic threads read an
/// immutable snapshot; only the fold over the log, on the control thread, makes
/// new ones.
struct config_tables
{
  /// The offset of the last record that is applied.
  log_offset mOffset;
  std::map<route_name, versioned<route_row>> mRoutes;
  std::map<pool_name, versioned<pool_row>> mPools;
  std::map<digest, versioned<key_row>> mKeys;
  std::map<workspace_id, versioned<workspace_row>> mWorkspaces;

  /// Returns the route with the longest path prefix that matches aPath; a route
  /// with a model must match aModel too. Null when there is none.
  [[nodiscard]] route_row const* FindRoute(std::string_view aPath,
                                           model_name const& aModel) const;

  /// Returns the pool of that name, or null.
  [[nodiscard]] pool_row const* FindPool(pool_name const& aName) const;

  /// Returns the row of the key with that digest, or null when no such key was
  /// issued or it was withdrawn.
  [[nodiscard]] key_row const* FindKey(digest const& aDigest) const;

  /// Returns the workspace's row, or null.
  [[nodiscard]] workspace_row const* FindWorkspace(
    workspace_id const& aName) const;

  bool operator==(config_tables const&) const = default;
};

}

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

/// All operators' rows as of one log offset. Traffic threads read it as an
/// immutable snapshot; only the fold over the log makes new ones.
struct config_tables
{
  /// Every record up to this offset is in; later ones are not.
  log_offset mOffset;
  std::map<route_name, versioned<route_row>> mRoutes;
  std::map<pool_name, versioned<pool_row>> mPools;
  std::map<digest, versioned<key_row>> mKeys;
  std::map<workspace_id, versioned<workspace_row>> mWorkspaces;

  /// The route with the longest path prefix that matches; for routes with a
  /// model, the model must match too. Null when there is none.
  [[nodiscard]] route_row const* FindRoute(std::string_view aPath,
                                           model_name const& aModel) const;

  /// The pool of that name, or null.
  [[nodiscard]] pool_row const* FindPool(pool_name const& aName) const;

  /// The key's row, or null when it was never given or is withdrawn.
  [[nodiscard]] key_row const* FindKey(digest const& aDigest) const;

  /// The workspace's row, or null.
  [[nodiscard]] workspace_row const* FindWorkspace(
    workspace_id const& aName) const;

  bool operator==(config_tables const&) const = default;
};

}

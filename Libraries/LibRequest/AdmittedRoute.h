#pragma once

#include <LibConfig/PoolRow.h>
#include <LibConfig/RouteRow.h>
#include <LibConfig/WorkspaceRow.h>
#include <LibRequest/Refusal.h>

#include <optional>
#include <variant>

namespace lycheeseam {

/// The rows that a request runs under, copied so that an edit of the tables
/// can't change a request midway.
struct admitted_route
{
  route_row mRoute;
  pool_row mPool;
  /// Nothing on routes open to all.
  std::optional<workspace_row> mWorkspace;
};

/// A request's rows, or why it has none.
using route_decision = std::variant<admitted_route, refusal>;

}

#pragma once

#include <LibConfig/PoolRow.h>
#include <LibConfig/RouteRow.h>
#include <LibConfig/WorkspaceRow.h>
#include <LibRequest/Refusal.h>

#include <optional>
#include <variant>

namespace lycheeseam {

/// The configuration rows that apply to a request. They are copied, so that a
/// configuration change does not affect a request that is already running.
struct admitted_route
{
  route_row mRoute;
  pool_row mPool;
  /// Empty on open routes, which need no key.
  std::optional<workspace_row> mWorkspace;
};

/// The rows that apply to a request, or the refusal if it matches none.
using route_decision = std::variant<admitted_route, refusal>;

}

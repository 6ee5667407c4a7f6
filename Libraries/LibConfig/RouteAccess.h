#pragma once

namespace lycheeseam {

/// Who may use a route.
enum class route_access
{
  /// A request needs a key and runs for the key's workspace.
  Keyed,
  /// Anyone may use the route: keys are ignored and no workspace is charged.
  Open,
};

}

#pragma once

namespace lycheeseam {

/// Who may use a route.
enum class route_access
{
  /// A request runs only for the workspace whose key came with it.
  Keyed,
  /// Open to all; no key is looked at and no workspace is charged.
  Open,
};

}

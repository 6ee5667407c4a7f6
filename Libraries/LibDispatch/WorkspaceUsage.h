#pragma once

#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// Usage and demand of a workspace, in its quota unit.
struct workspace_usage
{
  workspace_id mWorkspace;
  /// Units that were charged for admitted requests.
  double mUnits = 0;
  /// Units that callers requested, admitted or not.
  double mDemand = 0;

  bool operator==(workspace_usage const&) const = default;
};

}

#pragma once

#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// What a workspace's requests were charged, in its unit.
struct workspace_usage
{
  workspace_id mWorkspace;
  double mUnits = 0;
  /// What callers asked for, admitted or not.
  double mDemand = 0;

  bool operator==(workspace_usage const&) const = default;
};

}

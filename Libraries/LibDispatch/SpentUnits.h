#pragma once

#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// What a workspace's requests were charged, in its unit.
struct spent_units
{
  workspace_id mWorkspace;
  double mUnits = 0;
  /// What callers asked for, admitted or not.
  double mAsked = 0;

  bool operator==(spent_units const&) const = default;
};

}

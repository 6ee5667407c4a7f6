#pragma once

namespace lycheeseam {

/// How closely instances keep to a workspace's rate together.
struct quota_terms
{
  /// Units that may be admitted beyond rate and burst, over all instances:
  /// covers what other instances admitted and haven't reported yet.
  double mSlackUnits = 0;
};

}

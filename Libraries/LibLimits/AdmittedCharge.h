#pragma once

#include <LibLimits/ChargeId.h>
#include <LibLimits/ChargePart.h>

#include <vector>

namespace lycheeseam {

/// A charge that loans have covered, kept until its request ends.
struct admitted_charge
{
  charge_id mCharge;
  workspace_id mWorkspace;
  token_count mTokens = 0;
  std::vector<charge_part> mParts;
};

}

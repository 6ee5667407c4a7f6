#pragma once

#include <LibLimits/ChargeId.h>
#include <LibLimits/ChargePart.h>

#include <vector>

namespace lycheeseam {

/// A charge that was paid, kept until its request has ended.
struct admitted_charge
{
  charge_id mCharge;
  workspace_id mWorkspace;
  token_count mTokens = 0;
  std::vector<charge_part> mParts;
};

}

#pragma once

#include <LibLimits/ChargeId.h>
#include <LibLimits/ChargeResult.h>

namespace lycheeseam {

/// The decision on a charge request.
struct charge_decision
{
  charge_id mCharge;
  charge_result mResult = charge_result::Admitted;

  bool operator==(charge_decision const&) const = default;
};

}

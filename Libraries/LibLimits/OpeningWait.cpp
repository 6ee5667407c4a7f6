#include <LibLimits/OpeningWait.h>

#include <algorithm>

namespace lycheeseam {

duration
OpeningWait(slot_holder const& aHolder,
            instance_identity const& aSelf,
            budget_timing const& aTiming)
{
  if (aHolder.mFormerHolders.empty())
    return duration::zero();
  auto const isSelf = [&aSelf](instance_id const& aFormer) {
    return aFormer == aSelf.mInstance;
  };
  // An earlier incarnation stopped lending before this one started. Another
  // instance may have lent for mConfirmBound after the claim.
  return std::ranges::all_of(aHolder.mFormerHolders, isSelf)
           ? aTiming.mRestartWait
           : aTiming.mTakeoverWait;
}

}

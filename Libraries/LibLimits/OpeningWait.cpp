#include <LibLimits/OpeningWait.h>

#include <algorithm>

namespace lycheeseam {

duration
OpeningWait(slot_holder const& aHolder,
            instance_identity const& aSelf,
            budget_timing const& aTiming)
{
  if (aHolder.mFormer.empty())
    return duration::zero();
  auto const isSelf = [&aSelf](instance_id const& aFormer) {
    return aFormer == aSelf.mInstance;
  };
  // An earlier life of this process gives nothing since before this one began;
  // another instance may have given for the confirm bound after the claim.
  return std::ranges::all_of(aHolder.mFormer, isSelf) ? aTiming.mRestartWait
                                                      : aTiming.mTakeoverWait;
}

}

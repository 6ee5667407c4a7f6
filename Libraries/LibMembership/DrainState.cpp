#include <LibMembership/DrainState.h>

namespace lycheeseam {

drain_state::drain_state(drain_options aOptions)
  : mOptions(aOptions)
{
}

void
drain_state::Begin(instant aNow)
{
  if (!mBegan)
    mBegan = aNow;
}

drain_phase
drain_state::Phase(instant aNow, std::size_t aOpenRequests) const
{
  if (!mBegan)
    return drain_phase::Serving;
  if (Accepts(aNow))
    return drain_phase::Announced;
  instant const bound =
    *mBegan + mOptions.mSpread + mOptions.mAddressTtl + mOptions.mFinish;
  if (aOpenRequests == 0 || aNow >= bound)
    return drain_phase::Done;
  return drain_phase::Finishing;
}

bool
drain_state::Accepts(instant aNow) const
{
  // The last answer that names this instance may be given when the stop has
  // spread, and is used for its time to live.
  return !mBegan || aNow - *mBegan < mOptions.mSpread + mOptions.mAddressTtl;
}

}

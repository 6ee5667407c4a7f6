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
  instant const deadline = *mBegan + mOptions.mPropagationTime +
                           mOptions.mAddressTtl + mOptions.mFinishTimeout;
  if (aOpenRequests == 0 || aNow >= deadline)
    return drain_phase::Done;
  return drain_phase::Finishing;
}

bool
drain_state::Accepts(instant aNow) const
{
  // A caller may get this address until the stop has reached every instance,
  // and uses it for its time to live.
  return !mBegan ||
         aNow - *mBegan < mOptions.mPropagationTime + mOptions.mAddressTtl;
}

}

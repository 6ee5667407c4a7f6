#include <LibRollout/RolloutGate.h>

namespace lycheeseam {

void
rollout_gate::Apply(instant aNow, std::span<rollout_state const> aStates)
{
  for (rollout_state const& state : aStates)
    mPools[state.mOrder.mPool].Apply(aNow, state);
}

void
rollout_gate::OnServers(instant aNow,
                        pool_name const& aPool,
                        std::span<software_count const> aCounts)
{
  mPools[aPool].OnServers(aNow, aCounts);
}

allowed_software
rollout_gate::Choose(instant aNow,
                     pool_name const& aPool,
                     std::uint64_t aHash,
                     std::span<software_count const> aCounts)
{
  return mPools[aPool].Choose(aNow, mLimits, aHash, aCounts);
}

allowed_software
rollout_gate::ChooseRepeat(instant aNow,
                           pool_name const& aPool,
                           std::span<software_count const> aCounts)
{
  return mPools[aPool].ChooseRepeat(aNow, aCounts);
}

std::uint64_t
rollout_gate::TargetSends(pool_name const& aPool) const
{
  auto const found = mPools.find(aPool);
  return found == mPools.end() ? 0 : found->second.TargetSends();
}

}

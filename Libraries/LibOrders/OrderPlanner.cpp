#include <LibOrders/OrderPlanner.h>

namespace lycheeseam {

std::vector<engine_order>
order_planner::Plan(instant aNow,
                    pool_row const& aPool,
                    std::span<engine_state const> aEngines,
                    fencing_number aFencing)
{
  std::uint32_t loading = 0;
  for (engine_state const& engine : aEngines) {
    if (engine.mLoaded == aPool.mWeights && engine.mLoading.IsEmpty())
      mOrderedAt.erase(engine.mServer);
    loading += IsLoading(aNow, engine) ? 1 : 0;
  }
  std::vector<engine_order> orders;
  for (engine_state const& engine : aEngines) {
    if (loading >= aPool.mMaxWeightLoads)
      break;
    if (engine.mLoaded == aPool.mWeights || IsLoading(aNow, engine))
      continue;
    ++loading;
    mOrderedAt[engine.mServer] = aNow;
    orders.push_back({ .mServer = engine.mServer,
                       .mModel = aPool.mModel,
                       .mWeights = aPool.mWeights,
                       .mFencing = aFencing });
  }
  return orders;
}

bool
order_planner::IsLoading(instant aNow, engine_state const& aEngine) const
{
  if (!aEngine.mLoading.IsEmpty())
    return true;
  auto const ordered = mOrderedAt.find(aEngine.mServer);
  return ordered != mOrderedAt.end() && aNow < ordered->second + mOrderWait;
}

}

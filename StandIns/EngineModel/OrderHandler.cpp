#include <StandIns/EngineModel/OrderHandler.h>

#include <algorithm>

namespace lycheeseam::standin {

order_handler::order_handler(bool aChecksFencing)
  : mChecksFencing(aChecksFencing)
{
}

order_answer
order_handler::Check(engine_order const& aOrder)
{
  bool const isStale = aOrder.mFencing < mNewest;
  if (isStale && mChecksFencing)
    return order_answer::StaleFencing;
  if (isStale)
    ++mStaleAccepted;
  mNewest = std::max(mNewest, aOrder.mFencing);
  return order_answer::Accepted;
}

void
order_handler::Complete(engine_order const& aOrder)
{
  switch (aOrder.mKind) {
    case engine_order_kind::LoadWeights:
      mModel = aOrder.mModel;
      mVersion = aOrder.mVersion;
      break;
    case engine_order_kind::UnloadWeights:
      mModel = model_name{};
      mVersion = weights_version{};
      break;
    case engine_order_kind::LoadAdapter:
      mAdapters.insert(aOrder.mAdapter);
      break;
    case engine_order_kind::UnloadAdapter:
      mAdapters.erase(aOrder.mAdapter);
      break;
    case engine_order_kind::SetRole:
      mRole = aOrder.mRole;
      break;
  }
}

}

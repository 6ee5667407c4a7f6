#include <LibFleet/OperatorState.h>
#include <LibStore/StorePosition.h>

#include <algorithm>

namespace lycheeseam {

namespace {

// A rolling update takes some seconds, so no server still has versions older
// than these.
constexpr std::size_t kKeptVersions = 16;

// True for copies of one record. A store that comes back from an older copy of
// itself shows the record again in its new era.
bool
AreOfOneRecord(rollout_order const& aLeft, rollout_order const& aRight)
{
  return store_position::FromNumber(aLeft.mNumber).Offset() ==
           store_position::FromNumber(aRight.mNumber).Offset() &&
         aLeft.mTarget == aRight.mTarget && aLeft.mDuration == aRight.mDuration;
}

}

bool
operator_state::Apply(std::shared_ptr<dispatch_config const> const& aConfig)
{
  if (mConfig && mConfig->Version() >= aConfig->Version())
    return false;
  mConfig = aConfig;
  return true;
}

bool
operator_state::Apply(instant aNow, loaded_model const& aTarget)
{
  auto const isModel = [&aTarget](target_weights const& aKnown) {
    return aKnown.mModel == aTarget.mModel;
  };
  auto const found = std::find_if(mWeights.begin(), mWeights.end(), isModel);
  target_weights& known =
    found != mWeights.end()
      ? *found
      : mWeights.emplace_back(target_weights{ .mModel = aTarget.mModel });
  if (aTarget.mVersion <= known.Newest())
    return false;
  known.mVersions.push_back(
    { .mVersion = aTarget.mVersion, .mLearnedAt = aNow });
  if (known.mVersions.size() > kKeptVersions)
    known.mVersions.erase(known.mVersions.begin());
  return true;
}

bool
operator_state::Apply(instant aNow, rollout_order const& aOrder)
{
  auto const isOfPool = [&aOrder](known_order const& aKnown) {
    return aKnown.mOrder.mPool == aOrder.mPool;
  };
  auto const found = std::find_if(mRollouts.begin(), mRollouts.end(), isOfPool);
  if (found == mRollouts.end()) {
    mRollouts.push_back({ .mOrder = aOrder, .mLearnedAt = aNow });
    return true;
  }
  if (aOrder.mNumber <= found->mOrder.mNumber ||
      AreOfOneRecord(aOrder, found->mOrder))
    return false;
  *found = { .mOrder = aOrder, .mLearnedAt = aNow };
  return true;
}

}

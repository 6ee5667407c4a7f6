#include <LibFleet/OperatorState.h>

#include <algorithm>

namespace lycheeseam {

namespace {

// A rolling update takes some seconds, so no server still has versions older
// than these.
constexpr std::size_t kKeptVersions = 16;

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

}

#include <LibFleet/OperatorState.h>

#include <algorithm>

namespace lycheeseam {

namespace {

// Servers are brought to the newest version within some seconds, so versions
// older than these have no server left.
constexpr std::size_t kKeptVersions = 16;

}

bool
operator_state::Take(std::shared_ptr<dispatch_config const> const& aConfig)
{
  if (mConfig && mConfig->Version() >= aConfig->Version())
    return false;
  mConfig = aConfig;
  return true;
}

bool
operator_state::Take(instant aNow, loaded_model const& aNamed)
{
  auto const isModel = [&aNamed](target_weights const& aKnown) {
    return aKnown.mModel == aNamed.mModel;
  };
  auto const found = std::find_if(mWeights.begin(), mWeights.end(), isModel);
  target_weights& known =
    found != mWeights.end()
      ? *found
      : mWeights.emplace_back(target_weights{ .mModel = aNamed.mModel });
  if (aNamed.mVersion <= known.Newest())
    return false;
  known.mVersions.push_back(
    { .mVersion = aNamed.mVersion, .mLearnedAt = aNow });
  if (known.mVersions.size() > kKeptVersions)
    known.mVersions.erase(known.mVersions.begin());
  return true;
}

}

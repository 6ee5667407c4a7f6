#pragma once

#include <LibDispatch/DispatchConfig.h>
#include <LibDispatch/LoadedModel.h>
#include <LibDispatch/TargetWeights.h>
#include <LibFleet/KnownOrder.h>

#include <memory>
#include <vector>

namespace lycheeseam {

/// The configuration in force, the target weights and the orders for rollouts,
/// as operators wrote them. None ever goes back to an older version.
class operator_state
{
public:
  /// Applies a configuration; true when it is newer than the one in force.
  bool Apply(std::shared_ptr<dispatch_config const> const& aConfig);

  /// Applies target weights; true when they are newer than all known ones of
  /// the model.
  bool Apply(instant aNow, loaded_model const& aTarget);

  /// Applies an order for a rollout, which replaces an earlier one of its pool;
  /// true when it is new. The same record may be read more than once.
  bool Apply(instant aNow, rollout_order const& aOrder);

  /// Null until a configuration has been read.
  [[nodiscard]] std::shared_ptr<dispatch_config const> const& Config()
    const noexcept
  {
    return mConfig;
  }

  [[nodiscard]] std::vector<target_weights> const& Weights() const noexcept
  {
    return mWeights;
  }

  /// The newest order of each pool.
  [[nodiscard]] std::vector<known_order> const& Rollouts() const noexcept
  {
    return mRollouts;
  }

private:
  std::shared_ptr<dispatch_config const> mConfig;
  std::vector<target_weights> mWeights;
  std::vector<known_order> mRollouts;
};

}

#pragma once

#include <LibDispatch/DispatchConfig.h>
#include <LibDispatch/LoadedModel.h>
#include <LibDispatch/TargetWeights.h>

#include <memory>
#include <vector>

namespace lycheeseam {

/// The configuration in force and the target weights, as operators wrote them.
/// Neither ever goes back to an older version.
class operator_state
{
public:
  /// Applies a configuration; true when it is newer than the one in force.
  bool Apply(std::shared_ptr<dispatch_config const> const& aConfig);

  /// Applies target weights; true when they are newer than all known ones of
  /// the model.
  bool Apply(instant aNow, loaded_model const& aTarget);

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

private:
  std::shared_ptr<dispatch_config const> mConfig;
  std::vector<target_weights> mWeights;
};

}

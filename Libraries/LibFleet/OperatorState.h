#pragma once

#include <LibDispatch/DispatchConfig.h>
#include <LibDispatch/LoadedModel.h>
#include <LibDispatch/TargetWeights.h>

#include <memory>
#include <vector>

namespace lycheeseam {

/// What operators wrote: the configuration in force and the weights named.
/// Neither ever goes back to an older version.
class operator_state
{
public:
  /// Takes a configuration; true when it is newer than the one in force.
  bool Take(std::shared_ptr<dispatch_config const> const& aConfig);

  /// Takes named weights; true when they are newer than all for the model.
  bool Take(instant aNow, loaded_model const& aNamed);

  /// Null until a configuration was read.
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

#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>
#include <LibDispatch/LoadedModel.h>
#include <LibDispatch/ServerStage.h>

#include <cstdint>
#include <vector>

namespace lycheeseam {

/// One backend server as it registered itself.
struct registered_server
{
  backend_server_id mId;
  /// When it started, in Unix milliseconds: a restart under the same id
  /// knows nothing of before.
  incarnation mIncarnation;
  pool_name mPool;
  endpoint mAddress;
  failure_domain mDomain;
  std::uint32_t mSlots = 1;
  server_stage mStage = server_stage::Ready;
  std::vector<loaded_model> mModels;

  bool operator==(registered_server const&) const = default;

  /// Takes a version that is newer than the one known; true when it was.
  bool RaiseVersion(model_name const& aModel, std::uint64_t aVersion)
  {
    for (loaded_model& model : mModels) {
      if (model.mModel != aModel || model.mVersion >= aVersion)
        continue;
      model.mVersion = aVersion;
      return true;
    }
    return false;
  }

  /// Keeps what is known of the same incarnation where it is newer: versions
  /// only grow within an incarnation.
  void KeepNewerVersions(registered_server const& aKnown)
  {
    for (loaded_model const& model : aKnown.mModels)
      RaiseVersion(model.mModel, model.mVersion);
  }

  /// The version of a model's weights; 0 when it has none.
  [[nodiscard]] std::uint64_t VersionOf(model_name const& aModel) const
  {
    for (loaded_model const& model : mModels) {
      if (model.mModel == aModel)
        return model.mVersion;
    }
    return 0;
  }
};

}

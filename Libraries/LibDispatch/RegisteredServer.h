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
  /// Its start time in Unix milliseconds. A restart under the same id begins a
  /// new incarnation, which has kept no state.
  incarnation mIncarnation;
  pool_name mPool;
  endpoint mAddress;
  failure_domain mDomain;
  /// Requests that it runs concurrently.
  std::uint32_t mSlots = 1;
  server_stage mStage = server_stage::Ready;
  /// Empty when the server doesn't say.
  software_version mSoftware;
  std::vector<loaded_model> mModels;
  /// How many entries this incarnation had written; 0 when it doesn't say.
  std::uint64_t mEntries = 0;

  bool operator==(registered_server const&) const = default;

  /// Records a model's version if it is newer than the recorded one; true when
  /// it was.
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

  /// Merges the versions of an earlier entry of the same incarnation: within an
  /// incarnation a model's version only grows, so the newer one is kept.
  void KeepNewerVersions(registered_server const& aKnown)
  {
    for (loaded_model const& model : aKnown.mModels)
      RaiseVersion(model.mModel, model.mVersion);
  }

  /// The version of a model's weights; 0 when the server doesn't list the
  /// model.
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

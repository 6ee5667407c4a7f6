#pragma once

#include <LibCore/Identifiers.h>
#include <LibDispatch/TargetVersion.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace lycheeseam {

/// The versions of a model's weights that operators set as the target.
struct target_weights
{
  model_name mModel;
  /// In ascending order of the versions.
  std::vector<target_version> mVersions;

  /// The newest target version; 0 for none.
  [[nodiscard]] std::uint64_t Newest() const
  {
    return mVersions.empty() ? 0 : mVersions.back().mVersion;
  }

  /// When this instance learned of a newer target version than aVersion;
  /// nothing when there is none.
  [[nodiscard]] std::optional<instant> ReplacedSince(
    std::uint64_t aVersion) const
  {
    for (target_version const& target : mVersions) {
      if (target.mVersion > aVersion)
        return target.mLearnedAt;
    }
    return std::nullopt;
  }
};

}

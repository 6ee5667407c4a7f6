#pragma once

#include <LibCore/Identifiers.h>
#include <LibDispatch/TargetVersion.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace lycheeseam {

/// The target weights that operators set for a model.
struct target_weights
{
  model_name mModel;
  /// In the order of their versions; the last one is the newest.
  std::vector<target_version> mVersions;

  /// The newest version; 0 for none.
  [[nodiscard]] std::uint64_t Newest() const
  {
    return mVersions.empty() ? 0 : mVersions.back().mVersion;
  }

  /// Since when a newer version than aVersion is known; nothing when there is
  /// none.
  [[nodiscard]] std::optional<instant> ReplacedSince(
    std::uint64_t aVersion) const
  {
    for (target_version const& named : mVersions) {
      if (named.mVersion > aVersion)
        return named.mLearnedAt;
    }
    return std::nullopt;
  }
};

}

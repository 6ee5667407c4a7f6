#pragma once

#include <LibCore/Instant.h>

#include <cstdint>

namespace lycheeseam {

/// A version of a model's weights that operators set as the target.
struct target_version
{
  std::uint64_t mVersion = 0;
  /// When this instance learned of it.
  instant mLearnedAt{};
};

}

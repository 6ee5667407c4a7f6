#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>

#include <cstdint>

namespace lycheeseam {

/// The newest weights that operators named for a model.
struct named_weights
{
  model_name mModel;
  std::uint64_t mVersion = 0;
  /// When this instance learned of them.
  instant mLearnedAt{};
};

}

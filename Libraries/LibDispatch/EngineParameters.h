#pragma once

#include <LibCore/Identifiers.h>

#include <cstdint>
#include <vector>

namespace lycheeseam {

/// What a pool's model engines have in common.
struct engine_parameters
{
  /// Requests that run at once on one engine.
  std::uint32_t mSlots = 0;
  /// Tokens that an engine's memory holds.
  token_count mMemoryTokens = 0;
  std::vector<model_name> mModels;
};

}

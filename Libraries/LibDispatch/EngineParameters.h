#pragma once

#include <LibCore/Identifiers.h>

#include <cstdint>
#include <vector>

namespace lycheeseam {

/// Parameters that all model engines of a pool share.
struct engine_parameters
{
  /// Requests that one engine runs concurrently.
  std::uint32_t mSlots = 0;
  /// Tokens that fit in one engine's KV cache.
  token_count mMemoryTokens = 0;
  std::vector<model_name> mModels;
};

}

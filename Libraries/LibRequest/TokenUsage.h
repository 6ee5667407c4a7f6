#pragma once

#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// The token counts of one completion, as reported by its engine.
struct token_usage
{
  token_count mPrompt = 0;
  token_count mCompletion = 0;
  /// The prompt tokens that were served from the engine's prefix cache.
  token_count mCached = 0;

  bool operator==(token_usage const&) const = default;
};

}

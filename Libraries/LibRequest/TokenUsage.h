#pragma once

#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// The tokens of one completion as its engine counted them.
struct token_usage
{
  token_count mPrompt = 0;
  token_count mCompletion = 0;
  /// The part of the prompt that came from the prefix cache.
  token_count mCached = 0;

  bool operator==(token_usage const&) const = default;
};

}

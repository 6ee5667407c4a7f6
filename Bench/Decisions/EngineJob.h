#pragma once

#include <LibConfig/PriorityClass.h>
#include <LibCore/Identifiers.h>
#include <LibPlacement/BlockHash.h>

#include <cstddef>
#include <span>

namespace lycheeseam::bench {

/// One request inside an engine.
struct engine_job
{
  /// The request's index in the run.
  std::size_t mRequest = 0;
  std::span<block_hash const> mBlocks;
  token_count mPromptTokens = 0;
  token_count mAnswerTokens = 0;
  /// Tokens to import from the KV store.
  token_count mStoredTokens = 0;
  priority_class mPriority = priority_class::Normal;
  bool mIsStarted = false;
  /// Prompt tokens that were in the cache when the prefill began.
  token_count mCachedTokens = 0;
  /// Work left before the first token, in prefill tokens.
  double mWork = 0;
  token_count mTokensLeft = 0;
};

}

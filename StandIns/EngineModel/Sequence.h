#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>

#include <StandIns/EngineModel/BlockHash.h>

#include <cstdint>
#include <vector>

namespace lycheeseam::standin {

/// Identifies an answer that a stand-in engine produces; only used inside the
/// engine.
using sequence_id = ordinal<struct sequence_tag>;

/// A request as the batch sees it: token counts and blocks, no text.
struct sequence
{
  sequence_id mId;
  /// Lower values are served first.
  std::int32_t mPriority = 1;
  std::vector<block_hash> mChain;
  token_count mPromptTokens = 0;
  /// The index of the next token, counted from 0 over the complete answer.
  token_count mNextToken = 0;
  /// The index after the last token.
  token_count mEndToken = 0;
  /// When the prefill ends; set on admission.
  instant mReadyAt;
  bool mDecoding = false;
};

}

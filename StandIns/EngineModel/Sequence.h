#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>

#include <StandIns/EngineModel/BlockHash.h>

#include <cstdint>
#include <vector>

namespace lycheeseam::standin {

/// One answer that a stand-in engine produces, known within the engine alone.
using sequence_id = ordinal<struct sequence_tag>;

/// A request as the batch sees it: token counts and blocks, no text.
struct sequence
{
  sequence_id mId;
  /// Lower values are served first.
  std::int32_t mPriority = 1;
  std::vector<block_hash> mChain;
  token_count mPromptTokens = 0;
  /// The token that comes next, counted from 0 over the whole answer.
  token_count mNextToken = 0;
  /// The token after the last.
  token_count mEndToken = 0;
  /// When the prompt has been computed; set on admission.
  instant mReadyAt;
  bool mDecoding = false;
};

}

#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
#include <LibPlacement/BlockHash.h>

#include <cstddef>
#include <vector>

namespace lycheeseam::bench {

/// One request as its caller sends it.
struct arrival
{
  instant mAt{};
  std::size_t mWorkspace = 0;
  std::size_t mInstance = 0;
  std::vector<block_hash> mBlocks;
  token_count mPromptTokens = 0;
  token_count mAnswerTokens = 0;
};

}

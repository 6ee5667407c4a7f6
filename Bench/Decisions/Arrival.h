#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
#include <LibPlacement/BlockHash.h>

#include <cstddef>
#include <vector>

namespace lycheeseam::bench {

/// A request as the load generator creates it, before the simulation runs.
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

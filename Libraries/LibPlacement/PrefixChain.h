#pragma once

#include <LibPlacement/BlockHash.h>
#include <LibPlacement/CacheScope.h>
#include <LibPlacement/TokenEstimate.h>

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace lycheeseam {

/// A prompt split into blocks, each hashed together with all blocks before it.
class prefix_chain
{
public:
  /// Splits a prompt's text; an incomplete block at the end is left out.
  static prefix_chain OfText(cache_scope const& aScope, std::string_view aText);

  /// Splits a prompt's tokens, given by the engines' token ids.
  static prefix_chain OfTokens(cache_scope const& aScope,
                               std::span<std::uint32_t const> aTokens);

  /// The blocks from the prompt's start on.
  [[nodiscard]] std::span<block_hash const> Blocks() const { return mBlocks; }

  /// The prompt's total length in tokens, estimated for text.
  [[nodiscard]] token_count Tokens() const { return mTokens; }

  /// The hash of the first block, which all prompts that begin with it share; a
  /// prompt shorter than a block has the hash of its own content.
  [[nodiscard]] block_hash Root() const { return mRoot; }

private:
  std::vector<block_hash> mBlocks;
  block_hash mRoot;
  token_count mTokens = 0;
};

}

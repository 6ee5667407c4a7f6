#pragma once

#include <LibPlacement/BlockHash.h>
#include <LibPlacement/CacheScope.h>
#include <LibPlacement/TokenEstimate.h>

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace lycheeseam {

/// A prompt cut into blocks, each hashed together with what precedes it.
class prefix_chain
{
public:
  /// Cuts a prompt's text; what doesn't fill a block at its end is left out.
  static prefix_chain OfText(cache_scope const& aScope, std::string_view aText);

  /// Cuts a prompt's tokens, as engines name them.
  static prefix_chain OfTokens(cache_scope const& aScope,
                               std::span<std::uint32_t const> aTokens);

  /// The blocks from the prompt's start on.
  [[nodiscard]] std::span<block_hash const> Blocks() const { return mBlocks; }

  /// The prompt's whole length in tokens, estimated for text.
  [[nodiscard]] token_count Tokens() const { return mTokens; }

  /// What all prompts with the same first block share; a prompt shorter than
  /// a block has one of its own.
  [[nodiscard]] block_hash Root() const { return mRoot; }

private:
  std::vector<block_hash> mBlocks;
  block_hash mRoot;
  token_count mTokens = 0;
};

}

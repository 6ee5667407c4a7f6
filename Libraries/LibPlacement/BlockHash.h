#pragma once

#include <LibCore/Ordinal.h>

namespace lycheeseam {

/// Names one block of a prompt together with all that precedes it, its
/// workspace and its weights; equal hashes mean an equal prefix.
///
/// The upper 16 bits are those of the prompt's root, so that a block by itself
/// tells which shard knows of it. The hash is no secret and no signature.
using block_hash = ordinal<struct block_hash_tag>;

/// How many low bits of a block_hash are the block's own.
inline constexpr unsigned kOwnHashBits = 48;

/// What all blocks with one root have in common; shards are chosen by it.
constexpr std::uint64_t
ShardKey(block_hash aBlock)
{
  return aBlock.Value() >> kOwnHashBits;
}

}

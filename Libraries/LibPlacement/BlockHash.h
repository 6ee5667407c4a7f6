#pragma once

#include <LibCore/Ordinal.h>

namespace lycheeseam {

/// The hash of one block of a prompt, all blocks before it, its workspace and
/// its weights; equal hashes mean an equal prefix.
///
/// The upper 16 bits are those of the prompt's root, so that any block's hash
/// determines its shard. The hash is neither a secret nor a signature.
using block_hash = ordinal<struct block_hash_tag>;

/// The number of low bits of a block_hash that are specific to the block.
inline constexpr unsigned kOwnHashBits = 48;

/// The bits that all blocks with one root share; they select the shard.
constexpr std::uint64_t
ShardKey(block_hash aBlock)
{
  return aBlock.Value() >> kOwnHashBits;
}

}

#pragma once

#include <StandIns/EngineModel/BlockHash.h>

#include <cstddef>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace lycheeseam::standin {

/// An engine's cache of prompt blocks, which evicts the least recently used
/// first.
class prefix_cache
{
public:
  explicit prefix_cache(std::size_t aCapacityBlocks);

  /// The length of the chain's cached prefix in blocks; marks these blocks as
  /// used.
  std::size_t Match(std::span<block_hash const> aChain);

  /// Adds the chain's blocks; returns those that weren't cached yet.
  std::vector<block_hash> Store(std::span<block_hash const> aChain);

  /// Evicts the blocks beyond the capacity; returns them.
  std::vector<block_hash> Evict();

  /// True if the block is cached; doesn't mark it as used.
  [[nodiscard]] bool Contains(block_hash aBlock) const;

  /// Drops all blocks.
  void Clear();

  /// The number of cached blocks.
  [[nodiscard]] std::size_t Size() const { return mPositions.size(); }

private:
  void Touch(std::span<block_hash const> aChain);

  std::size_t mCapacityBlocks;
  /// Most recently used first.
  std::list<block_hash> mRecency;
  std::unordered_map<block_hash, std::list<block_hash>::iterator> mPositions;
};

}

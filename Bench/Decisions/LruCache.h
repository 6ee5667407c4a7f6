#pragma once

#include <LibPlacement/BlockHash.h>

#include <cstddef>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace lycheeseam::bench {

/// A bounded cache of blocks that evicts the least recently used first.
class lru_cache
{
public:
  explicit lru_cache(std::size_t aCapacity)
    : mCapacity(aCapacity)
  {
  }

  /// The length of the prompt's cached prefix, in blocks.
  [[nodiscard]] std::size_t CountHeld(
    std::span<block_hash const> aBlocks) const;

  /// Caches a prompt's blocks as most recently used; returns the evicted
  /// blocks.
  std::vector<block_hash> Use(std::span<block_hash const> aBlocks);

  [[nodiscard]] bool Holds(block_hash aBlock) const
  {
    return mPositions.contains(aBlock);
  }

private:
  using recency_list = std::list<block_hash>;

  std::size_t mCapacity;
  /// Most recently used first.
  recency_list mRecency;
  std::unordered_map<block_hash, recency_list::iterator> mPositions;
};

}

#pragma once

#include <LibPlacement/BlockHash.h>

#include <cstddef>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace lycheeseam::bench {

/// Blocks in limited memory; the longest unused ones go first.
class lru_cache
{
public:
  explicit lru_cache(std::size_t aCapacity)
    : mCapacity(aCapacity)
  {
  }

  /// How many blocks from the prompt's start on are held.
  [[nodiscard]] std::size_t CountHeld(
    std::span<block_hash const> aBlocks) const;

  /// Holds a prompt's blocks as most recently used; returns what went out.
  std::vector<block_hash> Use(std::span<block_hash const> aBlocks);

  [[nodiscard]] bool Holds(block_hash aBlock) const
  {
    return mPlaces.contains(aBlock);
  }

private:
  using order = std::list<block_hash>;

  std::size_t mCapacity;
  /// The most recently used first.
  order mOrder;
  std::unordered_map<block_hash, order::iterator> mPlaces;
};

}

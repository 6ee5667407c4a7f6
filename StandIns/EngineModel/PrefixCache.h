#pragma once

#include <StandIns/EngineModel/BlockHash.h>

#include <cstddef>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace lycheeseam::standin {

/// An engine's cache of prompt blocks, the least recently used leaving first.
class prefix_cache
{
public:
  explicit prefix_cache(std::size_t aCapacityBlocks);

  /// The length of the chain's cached beginning, in blocks; touches it.
  std::size_t Match(std::span<block_hash const> aChain);

  /// Adds the chain's blocks; returns those that weren't there.
  std::vector<block_hash> Store(std::span<block_hash const> aChain);

  /// Drops the blocks over the capacity; returns them.
  std::vector<block_hash> Evict();

  /// True if the block is cached; doesn't touch it.
  [[nodiscard]] bool Contains(block_hash aBlock) const;

  /// Drops everything.
  void Clear();

  /// Blocks held.
  [[nodiscard]] std::size_t Size() const { return mPlaces.size(); }

private:
  void Touch(std::span<block_hash const> aChain);

  std::size_t mCapacityBlocks;
  /// Most recently used first.
  std::list<block_hash> mOrder;
  std::unordered_map<block_hash, std::list<block_hash>::iterator> mPlaces;
};

}

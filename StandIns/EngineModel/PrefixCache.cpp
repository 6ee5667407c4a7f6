#include <StandIns/EngineModel/PrefixCache.h>

namespace lycheeseam::standin {

prefix_cache::prefix_cache(std::size_t aCapacityBlocks)
  : mCapacityBlocks(aCapacityBlocks)
{
}

std::size_t
prefix_cache::Match(std::span<block_hash const> aChain)
{
  std::size_t matched = 0;
  while (matched < aChain.size() && Contains(aChain[matched]))
    ++matched;
  Touch(aChain.first(matched));
  return matched;
}

std::vector<block_hash>
prefix_cache::Store(std::span<block_hash const> aChain)
{
  std::vector<block_hash> stored;
  for (block_hash const block : aChain) {
    if (Contains(block))
      continue;
    mRecency.push_front(block);
    mPositions.emplace(block, mRecency.begin());
    stored.push_back(block);
  }
  Touch(aChain);
  return stored;
}

std::vector<block_hash>
prefix_cache::Evict()
{
  std::vector<block_hash> evicted;
  while (mRecency.size() > mCapacityBlocks) {
    evicted.push_back(mRecency.back());
    mPositions.erase(mRecency.back());
    mRecency.pop_back();
  }
  return evicted;
}

bool
prefix_cache::Contains(block_hash aBlock) const
{
  return mPositions.contains(aBlock);
}

void
prefix_cache::Clear()
{
  mRecency.clear();
  mPositions.clear();
}

void
prefix_cache::Touch(std::span<block_hash const> aChain)
{
  // Deepest first, so that a chain is evicted from its end: a block whose
  // parent has been evicted can't be matched.
  for (auto block = aChain.rbegin(); block != aChain.rend(); ++block)
    mRecency.splice(mRecency.begin(), mRecency, mPositions.at(*block));
}

}

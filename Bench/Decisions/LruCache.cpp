#include <Bench/Decisions/LruCache.h>

#include <algorithm>

namespace lycheeseam::bench {

std::size_t
lru_cache::CountHeld(std::span<block_hash const> aBlocks) const
{
  auto const end = std::ranges::find_if_not(
    aBlocks, [this](block_hash aBlock) { return Holds(aBlock); });
  return static_cast<std::size_t>(end - aBlocks.begin());
}

std::vector<block_hash>
lru_cache::Use(std::span<block_hash const> aBlocks)
{
  // From the end, so that a prompt's last block is evicted before its first.
  for (auto last = aBlocks.rbegin(); last != aBlocks.rend(); ++last) {
    block_hash const block = *last;
    auto const found = mPositions.find(block);
    if (found != mPositions.end()) {
      mRecency.splice(mRecency.begin(), mRecency, found->second);
      continue;
    }
    mRecency.push_front(block);
    mPositions.emplace(block, mRecency.begin());
  }
  std::vector<block_hash> evicted;
  while (mRecency.size() > mCapacity) {
    evicted.push_back(mRecency.back());
    mPositions.erase(mRecency.back());
    mRecency.pop_back();
  }
  return evicted;
}

}

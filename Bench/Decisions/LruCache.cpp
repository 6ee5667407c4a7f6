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
  // From the end on, so that a prompt's last block goes out before its first.
  for (auto last = aBlocks.rbegin(); last != aBlocks.rend(); ++last) {
    block_hash const block = *last;
    auto const found = mPlaces.find(block);
    if (found != mPlaces.end()) {
      mOrder.splice(mOrder.begin(), mOrder, found->second);
      continue;
    }
    mOrder.push_front(block);
    mPlaces.emplace(block, mOrder.begin());
  }
  std::vector<block_hash> evicted;
  while (mOrder.size() > mCapacity) {
    evicted.push_back(mOrder.back());
    mPlaces.erase(mOrder.back());
    mOrder.pop_back();
  }
  return evicted;
}

}

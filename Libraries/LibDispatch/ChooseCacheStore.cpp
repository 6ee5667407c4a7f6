#include <LibDispatch/ChooseCacheStore.h>
#include <LibDispatch/RendezvousRank.h>

#include <algorithm>

namespace lycheeseam {

// Each part has one store: a copy in every store would use up the memory and
// the links of all of them for the same parts.
cache_store const*
ChooseCacheStore(std::span<cache_store const> aStores, std::uint64_t aPromptKey)
{
  auto const rank = [aPromptKey](cache_store const& aStore) {
    return RendezvousRank(aPromptKey, aStore.mSeed);
  };
  auto const best = std::ranges::max_element(aStores, {}, rank);
  return best == aStores.end() ? nullptr : &*best;
}

}

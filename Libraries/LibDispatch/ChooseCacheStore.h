#pragma once

#include <LibDispatch/CacheStore.h>

#include <cstdint>
#include <span>

namespace lycheeseam {

/// The store that keeps the parts of a prompt with this key, or null when there
/// are no stores. Keys are spread evenly, and all instances choose the same
/// store.
cache_store const*
ChooseCacheStore(std::span<cache_store const> aStores,
                 std::uint64_t aPromptKey);

}

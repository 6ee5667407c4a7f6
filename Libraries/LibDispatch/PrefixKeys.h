#pragma once

#include <LibDispatch/PromptPart.h>

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace lycheeseam {

/// The keys of a prompt's shared prefixes in a cache scope, from the shortest
/// to the longest. Prefixes that are read faster than transferred have no key.
std::vector<std::uint64_t>
PrefixKeys(std::span<prompt_part const> aParts, std::string_view aCacheScope);

}

#include <LibDispatch/PrefixKeys.h>

#include <xxhash.h>

namespace lycheeseam {

namespace {

// An engine reads fewer tokens than this in less time than a transfer waits for
// the links of both ends.
constexpr token_count kMinTransferredTokens = 1'000;

}

std::vector<std::uint64_t>
PrefixKeys(std::span<prompt_part const> aParts, std::string_view aCacheScope)
{
  std::vector<std::uint64_t> keys;
  // The last part belongs to one request or session.
  if (aParts.empty())
    return keys;
  token_count tokens = 0;
  std::uint64_t key = XXH3_64bits(aCacheScope.data(), aCacheScope.size());
  for (prompt_part const& part : aParts.first(aParts.size() - 1)) {
    // A cached part is of use only behind the same parts before it.
    key = XXH3_64bits_withSeed(part.mId.data(), part.mId.size(), key);
    tokens += part.mTokens;
    if (tokens >= kMinTransferredTokens)
      keys.push_back(key);
  }
  return keys;
}

}

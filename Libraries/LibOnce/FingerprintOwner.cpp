#include <LibCore/Verify.h>
#include <LibOnce/FingerprintOwner.h>

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <string>

namespace lycheeseam {

namespace {

/// Selects a name for a key by rendezvous hashing.
template<typename Name>
Name
HighestScore(std::uint64_t aKey, std::span<Name const> aNames)
{
  VERIFY(!aNames.empty());
  auto const score = [aKey](Name const& aName) {
    std::string const& text = aName.Text();
    return XXH3_64bits_withSeed(text.data(), text.size(), aKey);
  };
  return *std::ranges::max_element(aNames, {}, score);
}

}

backend_server_id
FallbackServer(digest const& aFingerprint,
               std::span<backend_server_id const> aServers)
{
  return HighestScore(std::hash<digest>{}(aFingerprint), aServers);
}

instance_id
FingerprintOwnerFor(backend_server_id const& aFallback,
                    std::span<instance_id const> aInstances)
{
  std::string const& text = aFallback.Text();
  return HighestScore(XXH3_64bits(text.data(), text.size()), aInstances);
}

}

#include <LibRollout/FirstServers.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace lycheeseam {
namespace {

// FNV-1a. Instances of different builds must agree on the order, so the hash
// can't be the one of the standard library.
std::uint64_t
HashOf(backend_server_id const& aId)
{
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (char const character : aId.Text()) {
    hash ^= static_cast<unsigned char>(character);
    hash *= 0x100000001b3ULL;
  }
  return hash;
}

}

std::vector<backend_server_id>
FirstServers(std::span<backend_server_id const> aServers, std::size_t aCount)
{
  auto const isBefore = [](backend_server_id const& aLeft,
                           backend_server_id const& aRight) {
    return std::pair{ HashOf(aLeft), aLeft } <
           std::pair{ HashOf(aRight), aRight };
  };
  std::vector<backend_server_id> servers(aServers.begin(), aServers.end());
  std::sort(servers.begin(), servers.end(), isBefore);
  if (aCount > 0 && aCount < servers.size())
    servers.resize(aCount);
  return servers;
}

}

#include <LibDispatch/FindServer.h>

namespace lycheeseam {

listed_server const*
FindServer(std::span<listed_server const> aServers,
           backend_server_id const& aId)
{
  for (listed_server const& server : aServers) {
    if (server.mId == aId)
      return &server;
  }
  return nullptr;
}

}

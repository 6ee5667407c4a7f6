#include <LibDispatch/FindServer.h>

namespace lycheeseam {

registered_server const*
FindServer(std::span<registered_server const> aServers,
           backend_server_id const& aId)
{
  for (registered_server const& server : aServers) {
    if (server.mId == aId)
      return &server;
  }
  return nullptr;
}

}

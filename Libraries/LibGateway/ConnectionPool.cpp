#include <LibGateway/ConnectionPool.h>
#include <LibHttp/IsConnectionIdle.h>

#include <utility>

namespace lycheeseam {

std::shared_ptr<connection_pool::tcp::socket>
connection_pool::Acquire(instant aNow, registered_server const& aServer)
{
  auto const found = mServers.find(aServer.mId);
  if (found == mServers.end() ||
      found->second.mIncarnation != aServer.mIncarnation)
    return nullptr;
  std::vector<idle_connection>& idle = found->second.mIdle;
  while (!idle.empty()) {
    idle_connection connection = std::move(idle.back());
    idle.pop_back();
    if (aNow < connection.mUsableUntil && IsConnectionIdle(*connection.mSocket))
      return std::move(connection.mSocket);
  }
  return nullptr;
}

void
connection_pool::Release(registered_server const& aServer,
                         idle_connection aConnection)
{
  server_connections& known = mServers[aServer.mId];
  if (known.mIncarnation != aServer.mIncarnation) {
    known.mIncarnation = aServer.mIncarnation;
    known.mIdle.clear();
  }
  known.mIdle.push_back(std::move(aConnection));
}

void
connection_pool::Prune(instant aNow)
{
  for (server_map::value_type& server : mServers)
    std::erase_if(server.second.mIdle,
                  [aNow](idle_connection const& aConnection) {
                    return aNow >= aConnection.mUsableUntil;
                  });
  std::erase_if(mServers,
                [](auto const& aEntry) { return aEntry.second.mIdle.empty(); });
}

void
connection_pool::CloseIdle(backend_server_id const& aServer)
{
  mServers.erase(aServer);
}

}

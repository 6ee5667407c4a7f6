#pragma once

#include <LibCore/Identifiers.h>
#include <LibDispatch/RegisteredServer.h>
#include <LibGateway/IdleConnection.h>

#include <memory>
#include <unordered_map>
#include <vector>

namespace lycheeseam {

/// The idle connections to each backend server, for reuse. Runs on the traffic
/// thread.
class connection_pool
{
public:
  using tcp = boost::asio::ip::tcp;

  /// Takes an idle connection that is still open and has no unread bytes; null
  /// when there is none.
  std::shared_ptr<tcp::socket> Acquire(instant aNow,
                                       registered_server const& aServer);

  /// Keeps a connection for a later request.
  void Release(registered_server const& aServer, idle_connection aConnection);

  /// Closes the connections that have been idle for too long, and removes
  /// servers that are left without any.
  void Prune(instant aNow);

  /// Closes all idle connections to a server.
  void CloseIdle(backend_server_id const& aServer);

private:
  struct server_connections
  {
    incarnation mIncarnation;
    std::vector<idle_connection> mIdle;
  };
  using server_map = std::unordered_map<backend_server_id, server_connections>;

  server_map mServers;
};

}

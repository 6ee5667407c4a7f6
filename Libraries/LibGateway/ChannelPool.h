#pragma once

#include <LibCore/Identifiers.h>
#include <LibDispatch/RegisteredServer.h>
#include <LibGateway/ServerChannel.h>

#include <memory>
#include <unordered_map>
#include <vector>

namespace lycheeseam {

/// The idle connections to each backend server. Runs on the traffic thread.
class channel_pool
{
public:
  using tcp = boost::asio::ip::tcp;

  /// An idle connection that is still open and silent, or null.
  std::shared_ptr<tcp::socket> Take(instant aNow,
                                    registered_server const& aServer);

  /// Keeps a connection for the next request.
  void Give(registered_server const& aServer, server_channel aChannel);

  /// Closes what lies idle past its time, and all to servers that are gone.
  void Prune(instant aNow);

  /// Closes all idle connections to a server.
  void Forget(backend_server_id const& aServer);

private:
  struct server_channels
  {
    incarnation mIncarnation;
    std::vector<server_channel> mIdle;
  };
  using server_map = std::unordered_map<backend_server_id, server_channels>;

  server_map mServers;
};

}

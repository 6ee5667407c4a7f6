#pragma once

#include <LibDispatch/FleetView.h>
#include <LibDispatch/TrackedServer.h>

#include <map>
#include <memory>
#include <span>
#include <vector>

namespace lycheeseam {

/// The backend servers of the newest view, by pool, each with what the
/// traffic thread learned of its life.
class server_table
{
public:
  /// Takes over a view; a server's new life starts with nothing known.
  void Apply(fleet_view const& aView);

  /// The servers of a pool.
  [[nodiscard]] std::span<tracked_server* const> Pool(
    pool_name const& aPool) const;

  /// A server by its id, shared with the requests that it runs, or null.
  [[nodiscard]] std::shared_ptr<tracked_server> Find(
    backend_server_id const& aId) const;

  /// All servers.
  [[nodiscard]] std::map<backend_server_id,
                         std::shared_ptr<tracked_server>> const&
  Servers() const noexcept
  {
    return mServers;
  }

private:
  std::map<backend_server_id, std::shared_ptr<tracked_server>> mServers;
  std::map<pool_name, std::vector<tracked_server*>> mPools;
};

}

#pragma once

#include <LibDispatch/FleetView.h>
#include <LibDispatch/TrackedServer.h>

#include <map>
#include <memory>
#include <span>
#include <vector>

namespace lycheeseam {

/// The backend servers of the newest fleet view, by pool, each with the traffic
/// thread's state of its incarnation.
class server_table
{
public:
  /// Updates the servers from a view. State is kept as long as a server's
  /// incarnation stays the same.
  void Apply(fleet_view const& aView);

  /// The servers of a pool.
  [[nodiscard]] std::span<tracked_server* const> Pool(
    pool_name const& aPool) const;

  /// True when servers of the pool report how long work takes on them now.
  [[nodiscard]] bool IsAdaptive(instant aNow, pool_name const& aPool) const;

  /// A server by its id, or null. Requests that run on a server share it, so
  /// that it outlives its removal from the view.
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

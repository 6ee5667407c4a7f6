#pragma once

#include <LibDispatch/FleetView.h>
#include <LibDispatch/ObservedLoad.h>
#include <LibDispatch/PoolPace.h>
#include <LibDispatch/SpeedSample.h>
#include <LibDispatch/TrackedServer.h>

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <unordered_map>
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

  /// True when a server of the pool has reported its slowdown lately, so that
  /// the estimates of its servers' loads are precise enough to place by them.
  [[nodiscard]] bool IsAdaptive(instant aNow, pool_name const& aPool) const;

  /// Takes over loads that other instances observed.
  void ApplyLoads(std::span<observed_load const> aLoads);

  /// Learns the speed of a server from one of its answers.
  void LearnSpeed(tracked_server& aServer, speed_sample const& aSample);

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
  std::map<pool_name, pool_pace> mPaces;
  /// The servers by mSeed.
  std::unordered_map<std::uint64_t, tracked_server*> mSeeds;
};

}

#pragma once

#include <LibDispatch/RegisteredServer.h>
#include <LibDispatch/TargetWeights.h>
#include <LibFleet/EngineReport.h>
#include <LibFleet/OrderAnswer.h>
#include <LibFleet/RollingUpdateTiming.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace lycheeseam {

/// Plans the rolling update of the engines of all pools to the target weights,
/// a share of each pool at a time.
///
/// A server is first withdrawn from new work on all instances, then ordered to
/// load the weights at once: its runs continue, and no new ones start until it
/// has the weights. The instances prefer servers that are updated for new work.
class rolling_update_plan
{
public:
  explicit rolling_update_plan(rolling_update_timing aTiming)
    : mTiming(aTiming)
  {
  }

  /// Takes the state of all servers; removes finished updates and starts the
  /// next ones.
  void Update(instant aNow,
              std::span<registered_server const> aServers,
              std::span<target_weights const> aWeights);

  /// The servers being updated, which get no new work.
  [[nodiscard]] std::set<backend_server_id> Updating() const;

  /// The servers whose order is due; the caller sends it and calls OnOrdered.
  [[nodiscard]] std::vector<backend_server_id> DueOrders(instant aNow) const;

  /// The servers whose state is to be requested; the caller sends the request
  /// and calls OnStateRequested.
  [[nodiscard]] std::vector<backend_server_id> DueStateRequests(
    instant aNow) const;

  void OnOrdered(instant aNow, backend_server_id const& aServer);
  void OnAnswer(instant aNow,
                backend_server_id const& aServer,
                order_answer aAnswer);
  void OnStateRequested(instant aNow, backend_server_id const& aServer);
  void OnReport(instant aNow,
                backend_server_id const& aServer,
                engine_report const& aReport);

  /// The number of orders that a server has accepted, which is known once its
  /// order is due.
  [[nodiscard]] std::uint64_t OrdersOf(backend_server_id const& aServer) const;

  /// The weights that a server is being updated to; version 0 when it isn't
  /// being updated.
  [[nodiscard]] loaded_model TargetOf(backend_server_id const& aServer) const;

  /// Abandons all updates, as when the lease is lost.
  void Clear() { mUpdates.clear(); }

  [[nodiscard]] bool IsIdle() const noexcept { return mUpdates.empty(); }

private:
  /// The update of one server that is in progress.
  struct engine_update
  {
    incarnation mIncarnation;
    model_name mModel;
    std::uint64_t mTargetVersion = 0;
    /// When the order is due.
    instant mOrderAt{};
    bool mIsOrdered = false;
    instant mOrderedAt{};
    instant mStateRequestAt{};
    /// The number of orders that the server has accepted; empty until it
    /// reports its state, and again once it answers an order with Busy.
    std::optional<std::uint64_t> mOrders;
  };

  /// The progress of a pool towards the target weights of one model.
  struct pool_progress
  {
    std::size_t mSize = 0;
    std::size_t mUpdated = 0;
    std::size_t mUpdating = 0;
    std::vector<registered_server const*> mOutdated;
  };
  using progress_by_pool = std::map<pool_name, pool_progress>;

  [[nodiscard]] progress_by_pool CountByPool(
    std::span<registered_server const> aServers,
    target_weights const& aTarget) const;

  /// The number of servers of a pool that may be updated at a time.
  [[nodiscard]] std::size_t MaxUpdating(pool_progress const& aPool) const;

  void RemoveFinished(std::span<registered_server const> aServers);
  void StartUpdate(instant aNow,
                   registered_server const& aServer,
                   target_weights const& aTarget);

  rolling_update_timing mTiming;
  std::map<backend_server_id, engine_update> mUpdates;
};

}

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

/// Brings the engines of all pools to the newest weights, a part at a time.
///
/// A server is first taken out of the choice of all instances, then ordered,
/// so that it finishes its runs while no new one comes; the instances lead
/// new work to servers that have turned.
class turnover_plan
{
public:
  explicit turnover_plan(turnover_timing aTiming)
    : mTiming(aTiming)
  {
  }

  /// Looks at all servers; picks those to turn next.
  void Update(instant aNow,
              std::span<registered_server const> aServers,
              std::span<target_weights const> aWeights);

  /// Servers that get no new work.
  [[nodiscard]] std::set<backend_server_id> Turning() const;

  /// Servers whose order is due; the caller sends it and calls OnOrdered.
  [[nodiscard]] std::vector<backend_server_id> DueOrders(instant aNow) const;

  /// Servers to be asked for their state; the caller asks and calls OnAsked.
  [[nodiscard]] std::vector<backend_server_id> DueQuestions(instant aNow) const;

  void OnOrdered(instant aNow, backend_server_id const& aServer);
  void OnAnswer(instant aNow,
                backend_server_id const& aServer,
                order_answer aAnswer);
  void OnAsked(instant aNow, backend_server_id const& aServer);
  void OnReport(instant aNow,
                backend_server_id const& aServer,
                engine_report const& aReport);

  /// The orders that a server whose order is due has accepted.
  [[nodiscard]] std::uint64_t OrdersOf(backend_server_id const& aServer) const;

  /// The weights that a server is being brought to; version 0 when it isn't.
  [[nodiscard]] loaded_model TargetOf(backend_server_id const& aServer) const;

  /// Gives up all that was begun, as when the lease is lost.
  void Clear() { mTurns.clear(); }

  [[nodiscard]] bool IsIdle() const noexcept { return mTurns.empty(); }

private:
  struct turn
  {
    incarnation mIncarnation;
    model_name mModel;
    std::uint64_t mTarget = 0;
    /// When the order is due.
    instant mOrderAt{};
    bool mIsOrdered = false;
    instant mOrderedAt{};
    instant mAskAt{};
    /// The orders that it accepted; nothing until it was asked, and after an
    /// order whose fate isn't known.
    std::optional<std::uint64_t> mOrders;
  };

  /// How a pool stands towards the newest weights of one model.
  struct census
  {
    std::size_t mSize = 0;
    std::size_t mTurned = 0;
    std::size_t mUpdating = 0;
    std::vector<registered_server const*> mBehind;
  };
  using pool_census = std::map<pool_name, census>;

  [[nodiscard]] pool_census Count(std::span<registered_server const> aServers,
                                  target_weights const& aNamed) const;

  /// How many servers of a pool may turn at a time.
  [[nodiscard]] std::size_t MostTurning(census const& aPool) const;

  void DropDone(std::span<registered_server const> aServers);
  void Begin(instant aNow,
             registered_server const& aServer,
             target_weights const& aNamed);

  turnover_timing mTiming;
  std::map<backend_server_id, turn> mTurns;
};

}

#pragma once

#include <LibConfig/PoolRow.h>
#include <LibCore/Instant.h>
#include <LibOrders/EngineOrder.h>
#include <LibOrders/EngineState.h>

#include <map>
#include <span>
#include <vector>

namespace lycheeseam {

/// Plans which engines of a pool load its weights, with at most as many
/// concurrent loads as the pool's row allows.
///
/// An engine with an unconfirmed order counts as loading, since the order may
/// have taken effect, until it reports the weights or the wait is over.
class order_planner
{
public:
  /// aOrderWait is how long an unconfirmed order counts as loading.
  explicit order_planner(duration aOrderWait)
    : mOrderWait(aOrderWait)
  {
  }

  /// Returns the orders to send now, only for engines that have reported.
  std::vector<engine_order> Plan(instant aNow,
                                 pool_row const& aPool,
                                 std::span<engine_state const> aEngines,
                                 fencing_number aFencing);

private:
  [[nodiscard]] bool IsLoading(instant aNow, engine_state const& aEngine) const;

  duration mOrderWait;
  std::map<backend_server_id, instant> mOrderedAt;
};

}

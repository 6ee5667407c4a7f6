#pragma once

#include <LibConfig/PoolRow.h>
#include <LibCore/Instant.h>
#include <LibOrders/EngineOrder.h>
#include <LibOrders/EngineState.h>

#include <map>
#include <span>
#include <vector>

namespace lycheeseam {

/// Plans the weight loads of one pool, never more at once than its row allows.
///
/// An order without an answer counts as loading, since it may have taken
/// effect, until the engine reports the weights or the wait is over.
class order_planner
{
public:
  explicit order_planner(duration aOrderWait)
    : mOrderWait(aOrderWait)
  {
  }

  /// The orders to send now. Only engines that have reported get one.
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

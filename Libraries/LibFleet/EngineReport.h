#pragma once

#include <LibDispatch/LoadedModel.h>

#include <cstdint>
#include <vector>

namespace lycheeseam {

/// The state that an engine reports on request. It is a few hundred
/// milliseconds old.
struct engine_report
{
  std::vector<loaded_model> mModels;
  /// True while the engine carries out an order.
  bool mIsBusy = false;
  /// The number of orders that the engine has accepted in this incarnation.
  std::uint64_t mOrders = 0;
};

}

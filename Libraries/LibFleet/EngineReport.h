#pragma once

#include <LibDispatch/LoadedModel.h>

#include <cstdint>
#include <vector>

namespace lycheeseam {

/// What an engine says of itself when it is asked; a few hundred milliseconds
/// old.
struct engine_report
{
  std::vector<loaded_model> mModels;
  /// True while it carries out an order.
  bool mIsBusy = false;
  /// Orders that it accepted in this life.
  std::uint64_t mOrders = 0;
};

}

#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>

#include <cstdint>

namespace lycheeseam {

/// An order to an engine to load a version of a model's weights at once; its
/// runs continue under the new weights.
struct weights_order
{
  backend_server_id mServer;
  endpoint mAddress;
  model_name mModel;
  std::uint64_t mVersion = 0;
  /// The instance that gives the order as holder of the lease on orders.
  instance_id mHolder;
  /// The fencing number, which is that lease's.
  std::uint64_t mFence = 0;
  /// The number of orders that the engine must have accepted so far, so that a
  /// late order can't undo a newer one.
  std::uint64_t mExpectedOrders = 0;
};

}

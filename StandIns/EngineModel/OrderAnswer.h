#pragma once

namespace lycheeseam::standin {

/// What an engine says to an order.
enum class order_answer
{
  Accepted,
  /// A newer fencing number has been seen.
  StaleFencing,
};

}

#pragma once

namespace lycheeseam::standin {

/// An engine's answer to an order.
enum class order_answer
{
  Accepted,
  /// Refused: an earlier order had a larger fencing number.
  StaleFencing,
};

}
